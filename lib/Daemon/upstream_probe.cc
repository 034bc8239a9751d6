#include "cuminswitch/Daemon/upstream_probe.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "cuminswitch/Net/http_call.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

static constexpr std::chrono::milliseconds kProbeTimeout{1000};

upstream_probe::upstream_probe(const probe_upstream& action,
                               http_client& client,
                               callback on_done)
    : upstream_(action.upstream), on_done_(std::move(on_done)) {
  call_ = client.Start({.to = action.address,
                        .method = http_method::kGet,
                        .path = "/load",
                        .headers = {},
                        .body = {},
                        .connect_timeout = kProbeTimeout,
                        .idle_timeout = kProbeTimeout},
                       *this);
}

upstream_probe::~upstream_probe() = default;

void upstream_probe::OnHeaders(const http_response_head& head) {
  status_ = head.status;
}

void upstream_probe::OnData(std::string_view data) {
  body_ += data;
}

void upstream_probe::OnEnd(http_result result) {
  upstream_report report{.upstream = upstream_};
  if (result == http_result::kComplete && status_ == status_code::kOk) {
    report = ParseUpstreamReport(upstream_, body_);
  }
  const callback on_done = std::move(on_done_);
  on_done(*this, std::move(report));
}

static uint64_t ReadCount(const nlohmann::json& json, const char* key) {
  const auto found = json.find(key);
  return found != json.end() && found->is_number_unsigned()
             ? found->get<uint64_t>()
             : 0;
}

upstream_report ParseUpstreamReport(std::string_view upstream,
                                    std::string_view body) {
  upstream_report report{.upstream = std::string(upstream)};
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (!json.is_object()) {
    return report;
  }
  report.reachable = true;
  report.incarnation = ReadCount(json, "incarnation");
  report.age = std::chrono::milliseconds(ReadCount(json, "age_ms"));
  report.running = static_cast<uint32_t>(ReadCount(json, "running"));
  report.waiting = static_cast<uint32_t>(ReadCount(json, "waiting"));
  const auto leaving = json.find("leaving");
  report.leaving =
      leaving != json.end() && leaving->is_boolean() && leaving->get<bool>();
  const auto models = json.find("models");
  if (models != json.end() && models->is_array()) {
    for (const auto& model : *models) {
      if (model.is_object()) {
        report.models.push_back(
            {.name = model.value("name", std::string()),
             .version = model.value("version", std::string())});
      }
    }
  }
  return report;
}

}  // namespace cuminswitch
