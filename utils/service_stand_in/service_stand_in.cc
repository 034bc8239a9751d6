// Stand-in for a service. It counts the executions of each idempotency key, so
// that a test can detect an order that was executed twice.
//
//   any other path      executes the request and responds after --delay-ms with
//                       {"run", "key", "echo"}
//   GET /load           a load report without models
//   GET /control/runs   {"runs", "keys", "doubled"}
//   POST /control?break_after_run=N   executes each of the next N requests and
//                                     then closes its connection without a
//                                     response
#include <nlohmann/json.hpp>

#include <charconv>
#include <chrono>
#include <deque>
#include <map>

#include "StandIn/stand_in_main.h"
#include "cuminswitch/CommandLine/option_parser.h"
#include "cuminswitch/CommandLine/program.h"
#include "cuminswitch/Net/http_exchange.h"
#include "cuminswitch/Net/loop_timer.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {
namespace {

using clock = std::chrono::steady_clock;
using exchange_ptr = std::shared_ptr<http_exchange>;

constexpr std::string_view kJson = "application/json";
constexpr std::chrono::milliseconds kSweep{1};

class service_stand_in : public http_request_handler {
 public:
  service_stand_in(event_base* base, std::chrono::milliseconds delay)
      : delay_(delay), timer_(base, [this] { Sweep(); }) {
    timer_.Start(kSweep);
  }

  void OnRequest(exchange_ptr exchange) override {
    const std::string_view path = exchange->Path();
    if (path == "/load") {
      exchange->Reply(200, kJson,
                      nlohmann::json({{"incarnation", 1},
                                      {"running", pending_.size()},
                                      {"waiting", 0}})
                          .dump());
    } else if (path == "/control/runs") {
      ReplyRuns(*exchange);
    } else if (path == "/control") {
      const std::string count = exchange->Parameter("break_after_run");
      std::from_chars(count.data(), count.data() + count.size(),
                      connections_to_break_);
      exchange->Reply(200, kJson, "{}");
    } else {
      Run(exchange);
    }
  }

 private:
  struct pending_response {
    clock::time_point at;
    exchange_ptr exchange;
    std::string body;
  };

  void Run(const exchange_ptr& exchange) {
    const std::string key = exchange->Header("Idempotency-Key");
    ++runs_;
    const uint64_t run = key.empty() ? 1 : ++runs_by_key_[key];
    if (connections_to_break_ > 0) {
      --connections_to_break_;
      exchange->Abort();
      return;
    }
    const nlohmann::json response = {
        {"run", run}, {"key", key}, {"echo", Hash64(exchange->Body())}};
    pending_.push_back({.at = clock::now() + delay_,
                        .exchange = exchange,
                        .body = response.dump()});
  }

  void ReplyRuns(http_exchange& exchange) const {
    uint64_t doubled = 0;
    for (const auto& [key, count] : runs_by_key_) {
      doubled += count > 1 ? 1 : 0;
    }
    const nlohmann::json json = {
        {"runs", runs_}, {"keys", runs_by_key_.size()}, {"doubled", doubled}};
    exchange.Reply(200, kJson, json.dump() + "\n");
  }

  void Sweep() {
    timer_.Start(kSweep);
    while (!pending_.empty() && pending_.front().at <= clock::now()) {
      pending_.front().exchange->Reply(200, kJson, pending_.front().body);
      pending_.pop_front();
    }
  }

  std::chrono::milliseconds delay_;
  loop_timer timer_;
  std::deque<pending_response> pending_;
  std::map<std::string, uint64_t> runs_by_key_;
  uint64_t runs_ = 0;
  uint64_t connections_to_break_ = 0;
};

int Main(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  int delay_ms = 20;
  option_parser parser("service_stand_in", "[OPTION...]");
  parser.AddString("listen", listen, "Where to listen", "ADDRESS");
  parser.AddInteger("delay-ms", delay_ms, "Duration of a call in ms");
  if (!parser.Parse(ArgumentsOf(argc, argv)).empty()) {
    throw usage_error("unexpected argument");
  }
  return RunStandIn(listen, [&](event_base* base) {
    return std::make_unique<service_stand_in>(
        base, std::chrono::milliseconds(delay_ms));
  });
}

}  // namespace
}  // namespace cuminswitch

int main(int argc, char** argv) {
  return cuminswitch::RunProgram("service_stand_in", &cuminswitch::Main, argc,
                                 argv);
}
