// Software versions of streams: records at which one a stream begins, and finds
// it for requests that resume a stream.
#include <algorithm>
#include <string>
#include <utility>

#include "cuminswitch/Edge/arrival_translator.h"
#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Edge/request_log.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

/// `Retry-After` for a stream whose version no daemon knows: one that did not
/// reply may do so soon.
static constexpr duration kUnknownRetryAfter = std::chrono::milliseconds(500);
/// Where the version of a resumed stream comes from, if not from a record.
static constexpr std::string_view kSoleVersion = "sole_version";
/// The service has one version as far as this daemon knows, but its items may
/// be out of date.
static constexpr std::string_view kUnverified = "unverified";

static uint64_t StreamOf(const caller_request& request) {
  return Hash64(request.resumed_attempt.empty() ? request.attempt
                                                : request.resumed_attempt);
}

void edge_task::RecordOrigin(time_point now,
                             const request_flow& flow,
                             const dispatch_attempt& action) {
  if (flow.route().kind != request_kind::kResumableStream ||
      action.software == kAnySoftware) {
    return;
  }
  const caller_request& request = flow.request();
  // The version of a stream that has begun is final.
  const uint32_t number = request.has_last_event ? stream_origin::kFinal
                                                 : action.earlier_attempts + 1;
  // Callers may return after the deadline that they stated for one attempt.
  const stream_origin origin{.stream = StreamOf(request),
                             .software = action.software,
                             .number = number,
                             .time_left = kMaxStreamTime};
  origins_.OnDispatch(now, flow.id(), origin);
  ProcessOrigins(now);
  // With one version, a daemon that knows nothing knows the version of all
  // streams.
  const std::string_view service = software_.ServiceOf(action.software);
  if (std::find(reported_mixed_.begin(), reported_mixed_.end(), service) !=
      reported_mixed_.end()) {
    services_.FindPort<fleet_message>(kFleetService)
        .Post(own_origins{.origins = {origin}});
  }
}

void edge_task::ReportMixedOrigins(time_point now) {
  std::vector<std::string> mixed = software_.ListMixed(now);
  if (snapshot_ != nullptr) {
    // This daemon may have started after the other versions had gone.
    mixed.insert(mixed.end(), snapshot_->mixed_services.begin(),
                 snapshot_->mixed_services.end());
    std::sort(mixed.begin(), mixed.end());
    mixed.erase(std::unique(mixed.begin(), mixed.end()), mixed.end());
  }
  if (mixed == reported_mixed_) {
    return;
  }
  own_origins began;
  for (const stream_origin& origin : origins_.ListActive(now)) {
    const std::string_view service = software_.ServiceOf(origin.software);
    const auto includes = [&](const std::vector<std::string>& services) {
      return std::find(services.begin(), services.end(), service) !=
             services.end();
    };
    if (includes(mixed) && !includes(reported_mixed_)) {
      began.origins.push_back(origin);
    }
  }
  reported_mixed_ = std::move(mixed);
  if (!began.origins.empty()) {
    services_.FindPort<fleet_message>(kFleetService).Post(std::move(began));
  }
}

void edge_task::ApplyRecordedOrigins(time_point now) {
  if (snapshot_->stream_origins.empty()) {
    return;
  }
  origins_.OnReport(now, {.origins = snapshot_->stream_origins});
  with_.log.Write(log_class::kLifecycle,
                  log_line("stream_origins_read")
                      .Add("count", snapshot_->stream_origins.size())
                      .Add("revision", snapshot_->revision));
}

void edge_task::FindOrigin(time_point now,
                           const request_flow& flow,
                           request_arrived arrival) {
  const request_id id = flow.id();
  pending_resumptions_[id] = {.arrival = std::move(arrival), .since = now};
  if (flow.request().resumed_attempt.empty()) {
    ApplyOrigin(now, {.request = id});
    return;
  }
  origins_.Find(now, id, StreamOf(flow.request()));
  ProcessOrigins(now);
}

void edge_task::ProcessOrigins(time_point now) {
  for (outgoing_origin_message& item : origins_.TakeMessages()) {
    services_.FindPort<fleet_message>(kFleetService).Post(std::move(item));
  }
  for (const found_origin& found : origins_.TakeFound()) {
    ApplyOrigin(now, found);
  }
}

std::optional<software_tag> edge_task::SoleVersionFor(
    time_point now,
    request_id request) const {
  const auto pending = pending_resumptions_.find(request);
  if (pending == pending_resumptions_.end()) {
    return std::nullopt;
  }
  const std::string_view target = pending->second.arrival.target;
  return software_.SoleVersion(now, target.substr(0, target.find('/')));
}

void edge_task::ApplyOrigin(time_point now, const found_origin& found) {
  // A version that this daemon has not heard of may serve elsewhere while its
  // view of the upstreams is out of date.
  if (!found.software && SoleVersionFor(now, found.request)) {
    verification_.Add(now, found);
    CheckItems(now);
    return;
  }
  Resume(now, found, found.software, ToString(found.source));
}

void edge_task::CheckItems(time_point now) {
  for (const origin_verification::verified& item :
       verification_.TakeOverdue(now)) {
    ApplyVerified(now, item);
  }
  if (verification_.BeginCheck(now, fleet_size_)) {
    services_.FindPort<fleet_message>(kFleetService)
        .Post(items_check_requested{});
  }
}

void edge_task::Handle(const items_checked& update) {
  const time_point now = ReadBootClock();
  for (const origin_verification::verified& item :
       verification_.OnChecked(update)) {
    ApplyVerified(now, item);
  }
  CheckItems(now);
}

void edge_task::ApplyVerified(time_point now,
                              const origin_verification::verified& item) {
  const auto sole = item.is_complete ? SoleVersionFor(now, item.origin.request)
                                     : std::nullopt;
  Resume(now, item.origin, sole,
         sole               ? kSoleVersion
         : item.is_complete ? ToString(item.origin.source)
                            : kUnverified);
}

void edge_task::Resume(time_point now,
                       const found_origin& found,
                       std::optional<software_tag> software,
                       std::string_view source) {
  const auto pending = pending_resumptions_.extract(found.request);
  request_flow* flow = FindFlow(found.request);
  if (pending.empty() || flow == nullptr || flow->has_ended()) {
    return;
  }
  request_arrived& arrival = pending.mapped().arrival;
  metrics_.CountResumed(software ? source : "unknown");
  with_.log.Write(log_class::kRequest,
                  DescribeResumption(*flow, found, source)
                      .Add("software", software ? software_.NameOf(*software)
                                                : std::string_view())
                      .Add("known", software.has_value())
                      .Add("waited_ms", now - pending.mapped().since)
                      .Add("revision", snapshot_->revision));
  if (!software) {
    flow->GiveUp({.request = found.request,
                  .result = outcome::kNotRun,
                  .status = status_code::kUnavailable,
                  .retry_after = kUnknownRetryAfter,
                  .message = "the stream's software version is unknown",
                  .recorded = {}});
    return;
  }
  const std::string service(software_.ServiceOf(*software));
  const auto& shares = flow->route().shares;
  if (std::any_of(shares.begin(), shares.end(), [&](const route_share& share) {
        return share.service == service;
      })) {
    flow->SetService(service);
    arrival.target = TargetOf(flow->config(), service, flow->request().model);
  }
  arrival.software = *software;
  arrival.time_limit = flow->deadline() - now;
  SubmitArrival(now, *flow, std::move(arrival));
}

void edge_task::Handle(const origin_report& report) {
  origins_.OnReport(ReadBootClock(), report);
}

void edge_task::Handle(const origin_query& query) {
  const time_point now = ReadBootClock();
  origins_.OnQuery(now, query);
  ProcessOrigins(now);
}

void edge_task::Handle(const origin_reply& reply) {
  const time_point now = ReadBootClock();
  origins_.OnReply(now, reply);
  ProcessOrigins(now);
}

}  // namespace cuminswitch
