// Stand-in for the platform's key-value service: compare-and-swap, leases,
// watches, a delayed host list, and faults on demand.
//
//   GET  /kv/KEY                        value, X-Revision; 404 when absent
//   PUT  /kv/KEY  X-Expected-Revision   200, or 409 with the current revision;
//                 X-Lease (optional)    removes the value when the lease
//                 expires
//   GET  /kv/KEY?watch=REV&wait_ms=N    replies when the revision differs, or
//                                       304 after N ms
//   POST /leases?ttl_ms=N               {"lease": ID}
//   POST /leases/ID                     renews; 404 when it has expired
//   GET  /hosts                         the list as of --list-lag-ms ago
//   PUT  /hosts                         sets the list, a JSON array
//   POST /control?outage_ms=N           no call gets a reply for N ms
//   POST /control?slow_ms=N             each reply is delayed by N ms
//   POST /control?lose_answers=N        the next N writes take effect without a
//                                       reply
//   GET  /calls                         {"calls", "writes", "peak_per_second"}
#include <nlohmann/json.hpp>

#include <charconv>
#include <chrono>
#include <deque>
#include <list>
#include <map>

#include "StandIn/stand_in_main.h"
#include "cuminswitch/CommandLine/option_parser.h"
#include "cuminswitch/CommandLine/program.h"
#include "cuminswitch/Net/http_exchange.h"
#include "cuminswitch/Net/loop_timer.h"

namespace cuminswitch {
namespace {

using clock = std::chrono::steady_clock;
using exchange_ptr = std::shared_ptr<http_exchange>;

constexpr std::string_view kJson = "application/json";
constexpr std::string_view kBinary = "application/octet-stream";
constexpr size_t kMaxValue = 1UL << 20;
constexpr std::chrono::milliseconds kSweep{5};

uint64_t ParseNumber(const std::string& text) {
  uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

struct stored_value {
  std::string value;
  uint64_t revision = 0;
  uint64_t lease = 0;
};

/// A reply that is sent later because of `slow_ms`.
struct delayed_reply {
  clock::time_point at;
  std::function<void()> reply;
};

struct waiting_watch {
  exchange_ptr exchange;
  std::string key;
  uint64_t revision = 0;
  clock::time_point until;
};

class platform_stand_in : public http_request_handler {
 public:
  platform_stand_in(event_base* base, std::chrono::milliseconds list_lag)
      : list_lag_(list_lag), sweep_(base, [this] { Sweep(); }) {
    sweep_.Start(kSweep);
  }

  void OnRequest(exchange_ptr exchange) override {
    const std::string_view path = exchange->Path();
    if (path == "/control") {
      Control(*exchange);
      return;
    }
    if (path == "/calls") {
      ReplyCalls(*exchange);
      return;
    }
    CountCall();
    Apply(exchange);
  }

 private:
  /// Calls \p reply now or after the injected delay; leaves the call without a
  /// reply during an outage.
  void Deliver(const exchange_ptr& exchange, std::function<void()> reply) {
    if (clock::now() < outage_until_) {
      unanswered_.push_back(exchange);
      return;
    }
    if (slow_.count() == 0) {
      reply();
      return;
    }
    delayed_.push_back({.at = clock::now() + slow_, .reply = std::move(reply)});
  }

  void Apply(const exchange_ptr& exchange) {
    const std::string_view path = exchange->Path();
    if (clock::now() < outage_until_) {
      // The connection stays open without a reply, so that the caller cannot
      // tell an outage from a slow service.
      unanswered_.push_back(exchange);
      return;
    }
    if (path.starts_with("/kv/")) {
      ApplyKeyValue(exchange, std::string(path.substr(4)));
    } else if (path == "/hosts") {
      ApplyHosts(exchange);
    } else if (path.starts_with("/leases")) {
      ApplyLease(exchange);
    } else {
      exchange->Reply(404, kJson, "{}");
    }
  }

  void ApplyKeyValue(const exchange_ptr& exchange, const std::string& key) {
    if (exchange->Method() == "PUT") {
      Write(exchange, key);
      return;
    }
    const std::string watch = exchange->Parameter("watch");
    if (watch.empty()) {
      Deliver(exchange, [this, exchange, key] { ReplyValue(*exchange, key); });
      return;
    }
    const uint64_t known = ParseNumber(watch);
    const auto wait =
        std::chrono::milliseconds(ParseNumber(exchange->Parameter("wait_ms")));
    if (RevisionOf(key) != known) {
      Deliver(exchange, [this, exchange, key] { ReplyValue(*exchange, key); });
      return;
    }
    watches_.push_back({.exchange = exchange,
                        .key = key,
                        .revision = known,
                        .until = clock::now() + wait});
  }

  uint64_t RevisionOf(const std::string& key) const {
    const auto found = values_.find(key);
    return found == values_.end() ? 0 : found->second.revision;
  }

  void ReplyValue(http_exchange& exchange, const std::string& key) {
    const auto found = values_.find(key);
    if (found == values_.end()) {
      exchange.Reply(404, kJson, "{}");
      return;
    }
    exchange.Reply(200, kBinary, found->second.value,
                   {{.name = "X-Revision",
                     .value = std::to_string(found->second.revision)}});
  }

  void Write(const exchange_ptr& exchange, const std::string& key) {
    ++writes_;
    const uint64_t expected =
        ParseNumber(exchange->Header("X-Expected-Revision"));
    const uint64_t current = RevisionOf(key);
    uint32_t status = 409;
    if (exchange->Body().size() > kMaxValue) {
      status = 413;
    } else if (expected == current) {
      status = 200;
      values_[key] = {.value = std::string(exchange->Body()),
                      .revision = ++revision_,
                      .lease = ParseNumber(exchange->Header("X-Lease"))};
    }
    if (status == 200 && lose_replies_ > 0) {
      --lose_replies_;
      unanswered_.push_back(exchange);
    } else {
      const uint64_t revision = RevisionOf(key);
      Deliver(exchange, [exchange, status, revision] {
        exchange->Reply(
            status, kJson, "{}",
            {{.name = "X-Revision", .value = std::to_string(revision)}});
      });
    }
    WakeWatches();
  }

  void ApplyHosts(const exchange_ptr& exchange) {
    if (exchange->Method() == "PUT") {
      hosts_.push_back(
          {.at = clock::now(), .text = std::string(exchange->Body())});
      exchange->Reply(200, kJson, "{}");
      return;
    }
    std::string text = "[]";
    for (const host_list& list : hosts_) {
      if (clock::now() - list.at >= list_lag_) {
        text = list.text;
      }
    }
    Deliver(exchange, [exchange, text] { exchange->Reply(200, kJson, text); });
  }

  void ApplyLease(const exchange_ptr& exchange) {
    const std::string_view path = exchange->Path();
    if (path == "/leases") {
      const std::chrono::milliseconds time_to_live(
          ParseNumber(exchange->Parameter("ttl_ms")));
      const uint64_t id = ++next_lease_;
      leases_[id] = {.time_to_live = time_to_live,
                     .until = clock::now() + time_to_live};
      exchange->Reply(200, kJson, nlohmann::json({{"lease", id}}).dump());
      return;
    }
    const auto found = leases_.find(ParseNumber(std::string(path.substr(8))));
    if (found == leases_.end()) {
      exchange->Reply(404, kJson, "{}");
      return;
    }
    found->second.until = clock::now() + found->second.time_to_live;
    exchange->Reply(200, kJson, "{}");
  }

  void Control(http_exchange& exchange) {
    const std::string outage = exchange.Parameter("outage_ms");
    if (!outage.empty()) {
      outage_until_ =
          clock::now() + std::chrono::milliseconds(ParseNumber(outage));
    }
    const std::string slow = exchange.Parameter("slow_ms");
    if (!slow.empty()) {
      slow_ = std::chrono::milliseconds(ParseNumber(slow));
    }
    const std::string lose = exchange.Parameter("lose_answers");
    if (!lose.empty()) {
      lose_replies_ = ParseNumber(lose);
    }
    exchange.Reply(200, kJson, "{}");
  }

  void CountCall() {
    ++calls_;
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                            clock::now().time_since_epoch())
                            .count();
    if (second != current_second_) {
      current_second_ = second;
      calls_in_second_ = 0;
    }
    peak_per_second_ = std::max(peak_per_second_, ++calls_in_second_);
  }

  void ReplyCalls(http_exchange& exchange) const {
    const nlohmann::json json = {{"calls", calls_},
                                 {"writes", writes_},
                                 {"peak_per_second", peak_per_second_}};
    exchange.Reply(200, kJson, json.dump() + "\n");
  }

  void WakeWatches() {
    for (auto it = watches_.begin(); it != watches_.end();) {
      if (RevisionOf(it->key) == it->revision && !it->exchange->IsClosed()) {
        ++it;
        continue;
      }
      const waiting_watch watch = *it;
      it = watches_.erase(it);
      Deliver(watch.exchange,
              [this, watch] { ReplyValue(*watch.exchange, watch.key); });
    }
  }

  void Sweep() {
    sweep_.Start(kSweep);
    const clock::time_point now = clock::now();
    while (!delayed_.empty() && delayed_.front().at <= now) {
      delayed_.front().reply();
      delayed_.pop_front();
    }
    for (auto it = watches_.begin(); it != watches_.end();) {
      if (now < it->until) {
        ++it;
        continue;
      }
      it->exchange->Reply(304, kJson, "");
      it = watches_.erase(it);
    }
    std::erase_if(leases_,
                  [&](const auto& pair) { return now > pair.second.until; });
    const size_t before = values_.size();
    std::erase_if(values_, [&](const auto& pair) {
      return pair.second.lease != 0 && !leases_.contains(pair.second.lease);
    });
    if (values_.size() != before) {
      WakeWatches();
    }
    std::erase_if(unanswered_,
                  [](const exchange_ptr& call) { return call->IsClosed(); });
  }

  struct host_list {
    clock::time_point at;
    std::string text;
  };
  struct lease {
    std::chrono::milliseconds time_to_live;
    clock::time_point until;
  };

  std::chrono::milliseconds list_lag_;
  loop_timer sweep_;
  std::map<std::string, stored_value> values_;
  std::map<uint64_t, lease> leases_;
  std::list<waiting_watch> watches_;
  std::deque<delayed_reply> delayed_;
  std::vector<exchange_ptr> unanswered_;
  std::vector<host_list> hosts_;
  uint64_t revision_ = 0;
  uint64_t next_lease_ = 0;
  clock::time_point outage_until_{};
  std::chrono::milliseconds slow_{0};
  uint64_t lose_replies_ = 0;
  uint64_t calls_ = 0;
  uint64_t writes_ = 0;
  uint64_t calls_in_second_ = 0;
  uint64_t peak_per_second_ = 0;
  int64_t current_second_ = 0;
};

int Main(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  int list_lag_ms = 3000;
  option_parser parser("platform_stand_in", "[OPTION...]");
  parser.AddString("listen", listen, "Where to listen", "ADDRESS");
  parser.AddInteger("list-lag-ms", list_lag_ms, "Delay of the host list in ms");
  if (!parser.Parse(ArgumentsOf(argc, argv)).empty()) {
    throw usage_error("unexpected argument");
  }
  return RunStandIn(listen, [&](event_base* base) {
    return std::make_unique<platform_stand_in>(
        base, std::chrono::milliseconds(list_lag_ms));
  });
}

}  // namespace
}  // namespace cuminswitch

int main(int argc, char** argv) {
  return cuminswitch::RunProgram("platform_stand_in", &cuminswitch::Main, argc,
                                 argv);
}
