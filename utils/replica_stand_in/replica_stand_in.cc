// A stand-in for one upstream on the users' platform: an engine that streams
// events and changes its weights by order, or a plain service. Each request
// that it runs is told on standard output as `run ATTEMPT WORKSPACE SALT`.
// Parts of a request's path make it misbehave: `/refuse/` (not run), `/fail/`
// (runs and fails), `/cut/` (an engine stops in the middle of its answer, a
// plain service runs the request and closes without one), `/hang/` (no answer),
// `/crash/` (the upstream runs the request and ends).
// `GET /control/limit/RATE` makes it name a limit from then on, `none` takes it
// away; meanwhile each request is told as `limited ATTEMPT TIME RATE` (of the
// monotonic clock, in milliseconds), and what comes beyond the limit as
// `over_limit GOT ALLOWED`.
// `GET /control/rest/SECONDS` makes it refuse every request and ask for so much
// rest, `none` ends that; `GET /control/leaving/1` makes all its answers say
// that it leaves. What comes then is told as `rested ATTEMPT TIME REST` and
// `left ATTEMPT TIME` (milliseconds), and, later than half a second after it
// has said so, as `in_rest ATTEMPT` and `while_leaving ATTEMPT`.
// `GET /control/departed/1` makes it tell each request from then on as
// `departed ATTEMPT TIME`, and changes nothing else.
#include <event2/event.h>

#include <chrono>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "StandIn/limit_bound.h"
#include "StandIn/stand_in_main.h"
#include "cuminswitch/CommandLine/option_parser.h"
#include "cuminswitch/Net/http_exchange.h"
#include "cuminswitch/Net/loop_timer.h"

namespace cuminswitch {
namespace {

using nlohmann::json;
using exchange_ptr = std::shared_ptr<http_exchange>;

constexpr char kJson[] = "application/json";
constexpr int kEvents = 5;

constexpr std::string_view kControlLimit = "/control/limit/";
constexpr std::string_view kControlRest = "/control/rest/";
constexpr std::string_view kControlLeaving = "/control/leaving/";
constexpr std::string_view kControlDeparted = "/control/departed/";
/// What was under way may come so long after a notice.
constexpr std::chrono::milliseconds kUnderWayTime{500};

int64_t ToMillis(std::chrono::steady_clock::time_point at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             at.time_since_epoch())
      .count();
}

/// Counts what comes while a limit is named, and tells what is beyond it: in
/// any 4 s one and a half times the limit and five requests more.
class limit_meter {
 public:
  using clock = std::chrono::steady_clock;

  /// Names \p rate requests a second; nothing for no limit.
  void Name(std::optional<double> rate) {
    rate_ = rate;
    named_at_ = clock::now();
    arrivals_.clear();
  }
  const std::optional<double>& rate() const { return rate_; }
  void OnArrival(const std::string& attempt) {
    const auto now = clock::now();
    if (!rate_ || now - named_at_ < kTellTime) {
      return;
    }
    std::cout << "limited " << attempt << " " << ToMillis(now) << " " << *rate_
              << std::endl;
    arrivals_.push_back(now);
    while (now - arrivals_.front() > kLimitWindow) {
      arrivals_.pop_front();
    }
    const double allowed = AllowedByLimit(*rate_);
    if (static_cast<double>(arrivals_.size()) > allowed) {
      std::cout << "over_limit " << arrivals_.size() << " " << allowed
                << std::endl;
    }
  }

 private:
  /// Daemons may take so long to hear of the limit and to keep to it.
  static constexpr std::chrono::seconds kTellTime{1};

  std::optional<double> rate_;
  clock::time_point named_at_{};
  std::deque<clock::time_point> arrivals_;
};

struct replica_options {
  std::string id = "i-1";
  std::string model;
  int version = 1;
  int event_gap_ms = 10;
};

class replica : public http_request_handler {
 public:
  replica(event_base* base, replica_options opts)
      : options_(std::move(opts)), timer_(base, [this] { OnTick(); }) {}

  void OnRequest(exchange_ptr exchange) override {
    const std::string path(exchange->Path());
    const std::string expected = exchange->Header("X-Expect-Replica");
    const std::string version = exchange->Header("X-Expect-Version");
    if (path.starts_with(kControlLimit)) {
      const std::string rate = path.substr(kControlLimit.size());
      meter_.Name(rate == "none" ? std::nullopt
                                 : std::optional(std::stod(rate)));
      exchange->Reply(200, kJson, "{}");
    } else if (path.starts_with(kControlRest)) {
      rest_ = path.substr(kControlRest.size());
      exchange->Reply(200, kJson, "{}");
    } else if (path.starts_with(kControlLeaving)) {
      is_leaving_ = true;
      exchange->Reply(200, kJson, "{}");
    } else if (path.starts_with(kControlDeparted)) {
      has_departed_ = true;
      exchange->Reply(200, kJson, "{}");
    } else if ((!expected.empty() && expected != options_.id) ||
               (!version.empty() &&
                version != std::to_string(options_.version))) {
      exchange->Reply(421, kJson, "{}", {{"X-Replica-Id", options_.id}});
    } else if (path == "/report") {
      Report(*exchange);
    } else if (path == "/order") {
      TakeOrder(*exchange);
    } else {
      Run(exchange, path);
    }
  }

 private:
  struct stream {
    exchange_ptr exchange;
    int next = 1;
    int last = kEvents;
  };

  json Models() const {
    return json::array({{{"name", options_.model},
                         {"version", options_.version},
                         {"adapters", json::array()}}});
  }

  void Report(http_exchange& exchange) {
    exchange.Reply(200, kJson,
                   json({{"stage", "colocated"},
                         {"models", Models()},
                         {"busy", false},
                         {"seq", orders_},
                         {"queued", 0},
                         {"running", streams_.size()}})
                       .dump());
  }

  void TakeOrder(http_exchange& exchange) {
    const json order = json::parse(exchange.Body());
    if (order.value("precondition", orders_) != orders_) {
      exchange.Reply(409, kJson, "{}");
      return;
    }
    ++orders_;
    options_.version = order.at("version");
    std::cout << "order " << order.at("holder").get<std::string>() << " "
              << order.at("fence") << " " << options_.version << std::endl;
    exchange.Reply(202, kJson, "{}");
  }

  http_headers AnswerHeaders(const http_exchange& exchange) const {
    http_headers headers = {
        {"X-Attempt-Id", exchange.Header("X-Attempt-Id")},
        {"X-Replica-Stamp", options_.id},
        {"X-Replica-Load", "1,0,8"},
        {"X-Weight-Versions", std::to_string(options_.version)},
        {"Keep-Alive", "timeout=5"}};
    if (is_leaving_) {
      headers.push_back({"Server-Leaving", "1"});
    }
    if (meter_.rate()) {
      headers.push_back({"Server-Limit", std::to_string(*meter_.rate())});
    }
    return headers;
  }

  /// Tells of a request that comes although this upstream asked for rest, said
  /// that it leaves, or has departed.
  void TellLateArrival(const std::string& attempt) {
    const auto now = clock::now();
    if (has_departed_) {
      std::cout << "departed " << attempt << " " << ToMillis(now) << std::endl;
    }
    if (is_leaving_) {
      std::cout << "left " << attempt << " " << ToMillis(now) << std::endl;
    }
    if (now < rest_until_ && now - rest_asked_at_ > kUnderWayTime) {
      std::cout << "in_rest " << attempt << std::endl;
    }
    if (is_leaving_ && left_at_ != clock::time_point() &&
        now - left_at_ > kUnderWayTime) {
      std::cout << "while_leaving " << attempt << std::endl;
    }
    if (is_leaving_ && left_at_ == clock::time_point()) {
      left_at_ = now;
    }
  }

  void AskForRest(http_exchange& exchange) {
    const auto now = clock::now();
    const auto rest = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(std::stod(rest_)));
    std::cout << "rested " << exchange.Header("X-Attempt-Id") << " "
              << ToMillis(now) << " " << rest.count() << std::endl;
    // Counted from the first time: a later one must not excuse what came
    // before it.
    if (now >= rest_until_) {
      rest_asked_at_ = now;
    }
    rest_until_ = now + rest;
    exchange.Reply(503, kJson, "{}",
                   {{"X-Attempt-Id", exchange.Header("X-Attempt-Id")},
                    {"X-Not-Executed", "1"},
                    {"Retry-After", rest_}});
  }

  void Run(const exchange_ptr& exchange, const std::string& path) {
    meter_.OnArrival(exchange->Header("X-Attempt-Id"));
    const auto has = [&path](const char* part) {
      return path.find(part) != std::string::npos;
    };
    TellLateArrival(exchange->Header("X-Attempt-Id"));
    if (rest_ != "none") {
      AskForRest(*exchange);
      return;
    }
    if (has("/refuse/")) {
      exchange->Reply(503, kJson, "{}",
                      {{"X-Attempt-Id", exchange->Header("X-Attempt-Id")},
                       {"X-Not-Executed", "1"}});
      return;
    }
    std::cout << "run " << exchange->Header("X-Attempt-Id") << " "
              << exchange->Header("X-Tenant") << " "
              << exchange->Header("X-Cache-Salt") << std::endl;
    if (has("/crash/")) {
      std::_Exit(EXIT_FAILURE);
    } else if (has("/hang/")) {
      hanging_.push_back(exchange);
    } else if (has("/fail/")) {
      exchange->Reply(500, kJson, "{}", AnswerHeaders(*exchange));
    } else if (options_.model.empty() && has("/cut/")) {
      exchange->Abort();
    } else if (options_.model.empty()) {
      exchange->Reply(200, "text/plain", "answer of " + options_.id,
                      AnswerHeaders(*exchange));
    } else {
      Stream(exchange, has("/cut/"));
    }
  }

  void Stream(const exchange_ptr& exchange, bool is_cut) {
    exchange->BeginStream(200, "text/event-stream", AnswerHeaders(*exchange));
    const std::string last = exchange->Header("Last-Event-Id");
    streams_.push_back({.exchange = exchange,
                        .next = last.empty() ? 1 : std::stoi(last) + 1,
                        .last = is_cut && last.empty() ? 2 : kEvents});
    if (streams_.size() == 1) {
      timer_.Start(std::chrono::milliseconds(options_.event_gap_ms));
    }
  }

  void OnTick() {
    streams_.remove_if([](stream& item) { return Advance(item); });
    if (!streams_.empty()) {
      timer_.Start(std::chrono::milliseconds(options_.event_gap_ms));
    }
  }

  /// Sends the next event; returns whether the stream is over.
  static bool Advance(stream& item) {
    if (item.exchange->IsClosed()) {
      std::cout << "cancelled" << std::endl;
      return true;
    }
    const std::string number = std::to_string(item.next);
    if (item.next > item.last) {
      if (item.last == kEvents) {
        item.exchange->EndStream();
      } else {
        item.exchange->SendChunk("id: " + number + "\ndata: to");
        item.exchange->Abort();
      }
      return true;
    }
    item.exchange->SendChunk("id: " + number + "\ndata: event " + number +
                             "\n\n");
    ++item.next;
    return false;
  }

  using clock = std::chrono::steady_clock;

  replica_options options_;
  /// The seconds of rest that it asks for, or none.
  std::string rest_ = "none";
  clock::time_point rest_asked_at_{};
  clock::time_point rest_until_{};
  bool is_leaving_ = false;
  bool has_departed_ = false;
  clock::time_point left_at_{};
  limit_meter meter_;
  loop_timer timer_;
  std::list<stream> streams_;
  std::list<exchange_ptr> hanging_;
  uint64_t orders_ = 0;
};

int Main(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  replica_options options;
  option_parser parser("replica_stand_in", "[OPTION...]");
  parser.AddString("listen", listen, "Where to listen", "ADDRESS:PORT");
  parser.AddString("id", options.id, "The name of this start", "ID");
  parser.AddString("model", options.model, "The model of an engine", "MODEL");
  parser.AddInteger("version", options.version, "The weights' version");
  parser.AddInteger("event-gap-ms", options.event_gap_ms,
                    "Time between two events");
  parser.Parse(ArgumentsOf(argc, argv));
  return RunStandIn(listen, [options](event_base* base) {
    return std::make_unique<replica>(base, options);
  });
}

}  // namespace
}  // namespace cuminswitch

int main(int argc, char** argv) {
  try {
    return cuminswitch::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "replica_stand_in: " << error.what() << "\n";
    return 2;
  }
}
