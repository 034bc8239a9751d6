// Stand-in for one upstream on the users' platform: an engine that streams
// events and changes its weights on command, or a service. Prints a line for
// each request that it executes, `run ATTEMPT WORKSPACE SALT`, and the further
// lines below. TIME is the monotonic clock in milliseconds.
//
// Parts of a request's path inject a fault:
//
//   /refuse/   refuses without executing the request
//   /fail/     executes the request and responds with an error
//   /cut/      an engine aborts its response midway; a service executes the
//              request and closes the connection without a response
//   /hang/     sends no response
//   /crash/    executes the request, and the process exits
//   /slow/     an engine pauses for longer between events
//   /inside/   with a crashing part: the response has neither length nor chunks
//              and ends inside an event
//   /between/  the same, but it ends between two events
//
// A crashing part is one in `X-Prompt-Prefix`, other than the last, with an ID
// that begins with `dead`. On such a request prints `crashing ATTEMPT TIME`,
// writes the first bytes of its response, prints `crashed ATTEMPT TIME`, and
// the process exits.
//
// Control requests change its state:
//
//   GET /control/limit/RATE     advertises a rate limit; `none` removes it.
//                               From 1 s later on, prints `limited ATTEMPT TIME
//                               RATE` for each request, and `over_limit GOT
//                               ALLOWED` when more arrive than `AllowedByLimit`
//   GET /control/fragile/N      advertises that more than N rejections within a
//                               second crash it, and crashes then (needs
//                               --slots); `none` ends it. Prints `fell TIME`;
//                               accepts nothing for 3 s after that
//   GET /control/queue/SIZE     how many requests may wait (needs --slots)
//   GET /control/rest/SECONDS   refuses all requests with this Retry-After;
//                               `none` ends it. Prints `rested ATTEMPT TIME
//                               REST` (REST in milliseconds) for each request
//                               whose caller has not disconnected
//   GET /control/leaving/1      announces in all responses that it is leaving.
//                               Prints `left ATTEMPT TIME` for each request
//   GET /control/departed/1     prints `departed ATTEMPT TIME` for each request
//                               and changes nothing else
//   GET /control/orders/MODE    an engine does not carry out commands: `refuse`
//                               responds with 409, `ignore` sends no response,
//                               `none` ends it. Prints `unmet_order TIME` for
//                               each command
//
// An engine grants every reservation. It stops at the deadline that a request
// states and prints `expired ATTEMPT`. `reserved ATTEMPT` is printed for each
// request that uses a reservation.
//
// A request that arrives more than 500 ms after the first response that asked
// for the backoff or announced the departure also prints `in_rest ATTEMPT`
// (until the backoff ends) or `while_leaving ATTEMPT`.
#include <event2/event.h>

#include <chrono>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "StandIn/fragile_upstream.h"
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
constexpr char kEventStream[] = "text/event-stream";
/// Events in a complete stream.
constexpr int kEvents = 5;
/// Pauses between events of a slow stream, in those of another stream.
constexpr int kSlowPauses = 20;

constexpr std::string_view kControlLimit = "/control/limit/";
constexpr std::string_view kControlFragile = "/control/fragile/";
constexpr std::string_view kControlQueue = "/control/queue/";
constexpr std::string_view kControlBackoff = "/control/rest/";
constexpr std::string_view kControlLeaving = "/control/leaving/";
constexpr std::string_view kControlDeparted = "/control/departed/";
constexpr std::string_view kControlOrders = "/control/orders/";
/// Requests that were sent before a daemon received an announcement may arrive
/// this long after it.
constexpr std::chrono::milliseconds kInFlightTime{500};

/// How often requests in slots are advanced.
constexpr std::chrono::milliseconds kSlotTick{1};

time_point ToCoreTime(std::chrono::steady_clock::time_point at) {
  return time_point(
      std::chrono::duration_cast<duration>(at.time_since_epoch()));
}

int64_t ToMillis(std::chrono::steady_clock::time_point at) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             at.time_since_epoch())
      .count();
}

/// Whether an item of the list `ID:TOKENS,ID:TOKENS`, other than the last, has
/// an ID that begins with `dead`.
bool HasCrashingPart(std::string_view list) {
  constexpr std::string_view kCrashingId = "dead";
  for (size_t comma = list.find(','); comma != std::string_view::npos;
       comma = list.find(',')) {
    if (list.starts_with(kCrashingId)) {
      return true;
    }
    list.remove_prefix(comma + 1);
  }
  return false;
}

/// Counts the requests that arrive while a rate limit is advertised, and prints
/// a line when there are more than `AllowedByLimit` within `kLimitWindow`.
class limit_meter {
 public:
  using clock = std::chrono::steady_clock;

  /// Sets the limit to \p rate requests per second; `nullopt` removes it.
  void SetRate(std::optional<double> rate) {
    rate_ = rate;
    set_at_ = clock::now();
    arrivals_.clear();
  }
  const std::optional<double>& rate() const { return rate_; }
  void OnArrival(const std::string& attempt) {
    const auto now = clock::now();
    if (!rate_ || now - set_at_ < kPropagationTime) {
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
  /// Time within which all daemons must have received the limit and apply it;
  /// arrivals before that are not counted.
  static constexpr std::chrono::seconds kPropagationTime{1};

  std::optional<double> rate_;
  clock::time_point set_at_{};
  std::deque<clock::time_point> arrivals_;
};

struct replica_options {
  std::string id = "i-1";
  std::string model;
  int version = 1;
  /// Written into each event, so that callers see which software made it; empty
  /// for none.
  std::string software;
  int event_gap_ms = 10;
  /// Requests that a service executes concurrently, each in `work_ms`, and
  /// those that may wait; without slots it responds at once.
  int slots = 0;
  int queue_size = 24;
  int work_ms = 60;
};

class replica : public http_request_handler {
 public:
  replica(event_base* base, replica_options opts)
      : options_(std::move(opts)),
        timer_(base, [this] { OnTick(); }),
        slot_timer_(base, [this] { AdvanceSlots(); }) {
    if (options_.slots > 0) {
      slots_.emplace(fragile_upstream::options{
          .slots = static_cast<uint32_t>(options_.slots),
          .queue_size = static_cast<uint32_t>(options_.queue_size),
          .work = std::chrono::milliseconds(options_.work_ms)});
      slot_timer_.Start(kSlotTick);
    }
  }

  void OnRequest(exchange_ptr exchange) override {
    const std::string path(exchange->Path());
    const std::string expected = exchange->Header("X-Expect-Replica");
    const std::string version = exchange->Header("X-Expect-Version");
    if (path.starts_with(kControlLimit)) {
      const std::string rate = path.substr(kControlLimit.size());
      meter_.SetRate(rate == "none" ? std::nullopt
                                    : std::optional(std::stod(rate)));
      exchange->Reply(200, kJson, "{}");
    } else if (slots_ && path.starts_with(kControlFragile)) {
      const std::string limit = path.substr(kControlFragile.size());
      slots_->SetRejectionLimit(
          limit == "none" ? std::nullopt
                          : std::optional<uint32_t>(std::stoul(limit)));
      exchange->Reply(200, kJson, "{}");
    } else if (slots_ && path.starts_with(kControlQueue)) {
      slots_->SetQueueSize(std::stoul(path.substr(kControlQueue.size())));
      exchange->Reply(200, kJson, "{}");
    } else if (path.starts_with(kControlBackoff)) {
      backoff_ = path.substr(kControlBackoff.size());
      exchange->Reply(200, kJson, "{}");
    } else if (path.starts_with(kControlLeaving)) {
      is_leaving_ = true;
      exchange->Reply(200, kJson, "{}");
    } else if (path.starts_with(kControlDeparted)) {
      has_departed_ = true;
      exchange->Reply(200, kJson, "{}");
    } else if (path.starts_with(kControlOrders)) {
      order_fault_ = path.substr(kControlOrders.size());
      exchange->Reply(200, kJson, "{}");
    } else if ((!expected.empty() && expected != options_.id) ||
               (!version.empty() &&
                version != std::to_string(options_.version))) {
      exchange->Reply(421, kJson, "{}", {{"X-Replica-Id", options_.id}});
    } else if (path == "/report") {
      Report(*exchange);
    } else if (path == "/order") {
      ReceiveCommand(exchange);
    } else if (path == "/hold-take") {
      exchange->Reply(200, kJson,
                      json({{"hold", ++reservation_count_}}).dump());
    } else {
      Run(exchange, path);
    }
  }

 private:
  using clock = std::chrono::steady_clock;

  struct stream {
    exchange_ptr exchange;
    int next = 1;
    int last = kEvents;
    /// Pauses between two events, and those left until the next event.
    int pauses = 1;
    int pauses_left = 0;
    /// The process exits when what was sent is written.
    bool is_crashing = false;
    clock::time_point deadline = clock::time_point::max();
  };

  json Models() const {
    return json::array({{{"name", options_.model},
                         {"version", options_.version},
                         {"adapters", json::array()}}});
  }

  void Report(http_exchange& exchange) {
    exchange.Reply(
        200, kJson,
        json({{"stage", "colocated"},
              {"models", Models()},
              {"busy", false},
              {"seq", command_count_},
              {"queued", slots_ ? slots_->waiting() : 0},
              {"running", slots_ ? slots_->running() : streams_.size()}})
            .dump());
  }

  void ReceiveCommand(const exchange_ptr& exchange) {
    if (order_fault_ == "none") {
      ApplyCommand(*exchange);
      return;
    }
    std::cout << "unmet_order " << ToMillis(clock::now()) << std::endl;
    if (order_fault_ == "refuse") {
      exchange->Reply(409, kJson, "{}");
    } else {
      hanging_.push_back(exchange);
    }
  }

  void ApplyCommand(http_exchange& exchange) {
    const json command = json::parse(exchange.Body());
    if (command.value("precondition", command_count_) != command_count_) {
      exchange.Reply(409, kJson, "{}");
      return;
    }
    ++command_count_;
    options_.version = command.at("version");
    std::cout << "order " << command.at("holder").get<std::string>() << " "
              << command.at("fence") << " " << options_.version << std::endl;
    exchange.Reply(202, kJson, "{}");
  }

  std::string LoadText() const {
    return slots_ ? std::to_string(slots_->running()) + "," +
                        std::to_string(slots_->waiting()) + "," +
                        std::to_string(slots_->slots())
                  : "1,0,8";
  }

  http_headers ResponseHeaders(const http_exchange& exchange) const {
    http_headers headers = {
        {"X-Attempt-Id", exchange.Header("X-Attempt-Id")},
        {"X-Replica-Stamp", options_.id},
        {"X-Replica-Load", LoadText()},
        {"X-Weight-Versions", std::to_string(options_.version)},
        {"Keep-Alive", "timeout=5"}};
    if (is_leaving_) {
      headers.push_back({"Server-Leaving", "1"});
    }
    if (meter_.rate()) {
      headers.push_back({"Server-Limit", std::to_string(*meter_.rate())});
    }
    if (slots_ && slots_->rejection_limit()) {
      headers.push_back(
          {"Server-Brittle", std::to_string(*slots_->rejection_limit())});
    }
    return headers;
  }

  /// Prints the lines for a request that arrives although this upstream
  /// requested backoff, announced that it is leaving, or has departed.
  void PrintLateArrival(const std::string& attempt) {
    const auto now = clock::now();
    if (has_departed_) {
      std::cout << "departed " << attempt << " " << ToMillis(now) << std::endl;
    }
    if (is_leaving_) {
      std::cout << "left " << attempt << " " << ToMillis(now) << std::endl;
    }
    if (now < backoff_until_ && now - backoff_requested_at_ > kInFlightTime) {
      std::cout << "in_rest " << attempt << std::endl;
    }
    if (is_leaving_ && leaving_announced_at_ != clock::time_point() &&
        now - leaving_announced_at_ > kInFlightTime) {
      std::cout << "while_leaving " << attempt << std::endl;
    }
    if (is_leaving_ && leaving_announced_at_ == clock::time_point()) {
      leaving_announced_at_ = now;
    }
  }

  void RequestBackoff(http_exchange& exchange) {
    // A process that was stopped reads requests before it sees that their
    // callers have disconnected meanwhile. Those are not asked for backoff.
    if (exchange.HasCallerClosed()) {
      exchange.Abort();
      return;
    }
    const auto now = clock::now();
    const auto backoff = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::duration<double>(std::stod(backoff_)));
    std::cout << "rested " << exchange.Header("X-Attempt-Id") << " "
              << ToMillis(now) << " " << backoff.count() << std::endl;
    // The in-flight time counts from the first refusal of a backoff: a later
    // refusal must not excuse requests that arrived before it.
    if (now >= backoff_until_) {
      backoff_requested_at_ = now;
    }
    backoff_until_ = now + backoff;
    exchange.Reply(503, kJson, "{}",
                   {{"X-Attempt-Id", exchange.Header("X-Attempt-Id")},
                    {"X-Not-Executed", "1"},
                    {"Retry-After", backoff_}});
  }

  void Run(const exchange_ptr& exchange, const std::string& path) {
    meter_.OnArrival(exchange->Header("X-Attempt-Id"));
    const auto has = [&path](const char* part) {
      return path.find(part) != std::string::npos;
    };
    PrintLateArrival(exchange->Header("X-Attempt-Id"));
    if (backoff_ != "none") {
      RequestBackoff(*exchange);
      return;
    }
    if (has("/refuse/")) {
      exchange->Reply(503, kJson, "{}",
                      {{"X-Attempt-Id", exchange->Header("X-Attempt-Id")},
                       {"X-Not-Executed", "1"}});
      return;
    }
    if (slots_) {
      UseSlot(exchange);
      return;
    }
    std::cout << "run " << exchange->Header("X-Attempt-Id") << " "
              << exchange->Header("X-Tenant") << " "
              << exchange->Header("X-Cache-Salt") << std::endl;
    if (!exchange->Header("X-Hold").empty()) {
      std::cout << "reserved " << exchange->Header("X-Attempt-Id") << std::endl;
    }
    if (HasCrashingPart(exchange->Header("X-Prompt-Prefix"))) {
      Crash(exchange, has("/inside/"), has("/between/"));
    } else if (has("/crash/")) {
      std::_Exit(EXIT_FAILURE);
    } else if (has("/hang/")) {
      hanging_.push_back(exchange);
    } else if (has("/fail/")) {
      exchange->Reply(500, kJson, "{}", ResponseHeaders(*exchange));
    } else if (options_.model.empty() && has("/cut/")) {
      exchange->Abort();
    } else if (options_.model.empty()) {
      exchange->Reply(200, "text/plain", "answer of " + options_.id,
                      ResponseHeaders(*exchange));
    } else {
      Stream(exchange, has("/cut/"), has("/slow/"));
    }
  }

  void UseSlot(const exchange_ptr& exchange) {
    const time_point now = ToCoreTime(clock::now());
    const uint64_t request = ++slot_request_count_;
    switch (slots_->Arrive(now, request)) {
      case fragile_upstream::arrival::kAccepted:
        in_slots_[request] = exchange;
        break;
      case fragile_upstream::arrival::kRejected: {
        http_headers headers = ResponseHeaders(*exchange);
        headers.push_back({"X-Not-Executed", "1"});
        exchange->Reply(503, kJson, "{}", headers);
        AbortLost();
        break;
      }
      case fragile_upstream::arrival::kDown:
        exchange->Abort();
        break;
    }
  }

  /// Closes the connections of the requests that a crash ended.
  void AbortLost() {
    const std::vector<uint64_t> lost = slots_->TakeLost();
    if (!lost.empty()) {
      std::cout << "fell " << ToMillis(clock::now()) << std::endl;
    }
    for (const uint64_t request : lost) {
      in_slots_.extract(request).mapped()->Abort();
    }
  }

  void AdvanceSlots() {
    slot_timer_.Start(kSlotTick);
    const time_point now = ToCoreTime(clock::now());
    std::erase_if(in_slots_, [&](const auto& item) {
      if (item.second->IsClosed()) {
        slots_->Cancel(now, item.first);
      }
      return item.second->IsClosed();
    });
    for (const uint64_t request : slots_->TakeCompleted(now)) {
      const exchange_ptr done = in_slots_.extract(request).mapped();
      if (options_.model.empty()) {
        done->Reply(200, "text/plain", "answer of " + options_.id,
                    ResponseHeaders(*done));
      } else {
        StreamAtOnce(*done);
      }
    }
  }

  /// Sends all events of a stream.
  void StreamAtOnce(http_exchange& exchange) const {
    exchange.BeginStream(200, kEventStream, ResponseHeaders(exchange));
    for (int i = 1; i <= kEvents; ++i) {
      exchange.SendChunk(MakeEvent(i));
    }
    exchange.EndStream();
  }

  /// Begins a response; `Advance` ends the process when its first bytes are
  /// written.
  void Crash(const exchange_ptr& exchange,
             bool ends_inside_event,
             bool ends_between_events) {
    std::cout << "crashing " << exchange->Header("X-Attempt-Id") << " "
              << ToMillis(clock::now()) << std::endl;
    const char* type = options_.model.empty() ? "text/plain" : kEventStream;
    const std::string last = exchange->Header("Last-Event-Id");
    const int next = last.empty() ? 1 : std::stoi(last) + 1;
    std::string text = options_.model.empty() ? "answer" : MakeEvent(next);
    if (ends_inside_event || ends_between_events) {
      exchange->BeginUnframed(200, type, ResponseHeaders(*exchange));
    } else {
      exchange->BeginStream(200, type, ResponseHeaders(*exchange));
    }
    if (ends_inside_event) {
      text += "id: " + std::to_string(next + 1) + "\ndata: ev";
    }
    exchange->SendChunk(text);
    AddStream({.exchange = exchange, .is_crashing = true});
  }

  static clock::time_point Deadline(const http_exchange& exchange) {
    const std::string millis = exchange.Header("X-Deadline-Ms");
    return millis.empty()
               ? clock::time_point::max()
               : clock::now() + std::chrono::milliseconds(std::stoll(millis));
  }

  void Stream(const exchange_ptr& exchange, bool is_truncated, bool is_slow) {
    exchange->BeginStream(200, kEventStream, ResponseHeaders(*exchange));
    const std::string last = exchange->Header("Last-Event-Id");
    AddStream({.exchange = exchange,
               .next = last.empty() ? 1 : std::stoi(last) + 1,
               .last = is_truncated && last.empty() ? 2 : kEvents,
               .pauses = is_slow ? kSlowPauses : 1,
               .deadline = Deadline(*exchange)});
  }

  void AddStream(stream item) {
    streams_.push_back(std::move(item));
    if (streams_.size() == 1) {
      timer_.Start(std::chrono::milliseconds(options_.event_gap_ms));
    }
  }

  void OnTick() {
    streams_.remove_if([this](stream& item) { return Advance(item); });
    if (!streams_.empty()) {
      timer_.Start(std::chrono::milliseconds(options_.event_gap_ms));
    }
  }

  std::string MakeEvent(int id) const {
    const std::string number = std::to_string(id);
    const std::string author =
        options_.software.empty() ? "" : " of " + options_.software;
    return "id: " + number + "\ndata: event " + number + author + "\n\n";
  }

  /// Sends the next event; returns whether the stream has ended.
  bool Advance(stream& item) const {
    if (item.exchange->IsClosed()) {
      std::cout << "cancelled" << std::endl;
      return true;
    }
    if (clock::now() >= item.deadline) {
      std::cout << "expired " << item.exchange->Header("X-Attempt-Id")
                << std::endl;
      item.exchange->Abort();
      return true;
    }
    if (item.is_crashing && item.exchange->PendingBytes() == 0) {
      std::cout << "crashed " << item.exchange->Header("X-Attempt-Id") << " "
                << ToMillis(clock::now()) << std::endl;
      std::_Exit(EXIT_FAILURE);
    }
    if (item.is_crashing || item.pauses_left-- > 0) {
      return false;
    }
    item.pauses_left = item.pauses - 1;
    if (item.next > item.last) {
      if (item.last == kEvents) {
        item.exchange->EndStream();
      } else {
        item.exchange->SendChunk("id: " + std::to_string(item.next) +
                                 "\ndata: to");
        item.exchange->Abort();
      }
      return true;
    }
    item.exchange->SendChunk(MakeEvent(item.next));
    ++item.next;
    return false;
  }

  replica_options options_;
  /// Seconds of backoff to request as Retry-After, or `none`.
  std::string backoff_ = "none";
  clock::time_point backoff_requested_at_{};
  clock::time_point backoff_until_{};
  /// What happens to commands: `refuse`, `ignore` or `none`.
  std::string order_fault_ = "none";
  bool is_leaving_ = false;
  bool has_departed_ = false;
  /// When a response first announced that this upstream is leaving.
  clock::time_point leaving_announced_at_{};
  limit_meter meter_;
  loop_timer timer_;
  loop_timer slot_timer_;
  /// The slots, and the requests that run or wait there.
  std::optional<fragile_upstream> slots_;
  std::map<uint64_t, exchange_ptr> in_slots_;
  uint64_t slot_request_count_ = 0;
  std::list<stream> streams_;
  std::list<exchange_ptr> hanging_;
  uint64_t command_count_ = 0;
  uint64_t reservation_count_ = 0;
};

int Main(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  replica_options options;
  option_parser parser("replica_stand_in", "[OPTION...]");
  parser.AddString("listen", listen, "Where to listen", "ADDRESS:PORT");
  parser.AddString("id", options.id, "Identifies this incarnation", "ID");
  parser.AddString("model", options.model,
                   "Model of an engine; empty for a service", "MODEL");
  parser.AddInteger("version", options.version, "Version of the weights");
  parser.AddString("software", options.software,
                   "Version of its software, which each event names",
                   "VERSION");
  parser.AddInteger("event-gap-ms", options.event_gap_ms,
                    "Milliseconds between two events");
  parser.AddInteger("slots", options.slots,
                    "Requests that it executes concurrently; 0 for no limit. "
                    "With slots, an engine sends all events at once");
  parser.AddInteger("queue", options.queue_size,
                    "Requests that may wait for a slot");
  parser.AddInteger("work-ms", options.work_ms,
                    "Milliseconds for which a request uses its slot");
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
