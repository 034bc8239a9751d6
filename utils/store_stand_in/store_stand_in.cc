// Stand-in for the users' metadata store: items, watches, conditional writes
// and leases, in memory.
//
//   POST /fault?mode=refuse   refuses every call with 503
//   POST /fault?mode=silent   replies to no call
//   POST /fault?mode=lost     applies writes without a reply
//   POST /fault?mode=none     ends the fault
//
// With `&at=ADDRESS:PORT` the fault applies only to calls to that address.
#include <event2/event.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iostream>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "StandIn/stand_in_main.h"
#include "cuminswitch/CommandLine/option_parser.h"
#include "cuminswitch/Net/http_exchange.h"
#include "cuminswitch/Net/loop_timer.h"

namespace cuminswitch {
namespace {

using nlohmann::json;
using exchange_ptr = std::shared_ptr<http_exchange>;

constexpr char kJson[] = "application/json";
constexpr size_t kPageSize = 500;
constexpr std::chrono::milliseconds kTick{20};

struct item {
  std::string value;
  uint64_t revision = 0;
  uint64_t created = 0;
  uint64_t lease = 0;
};

struct change {
  std::string key;
  uint64_t revision = 0;
  json event;
};

struct waiting_watch {
  exchange_ptr exchange;
  std::string prefix;
  uint64_t after = 0;
  std::chrono::steady_clock::time_point until;
};

struct lease {
  std::chrono::milliseconds time_to_live{0};
  std::chrono::steady_clock::time_point until;
};

class store : public http_request_handler {
 public:
  explicit store(event_base* base) : timer_(base, [this] { OnTick(); }) {
    timer_.Start(kTick);
  }

  void OnRequest(exchange_ptr exchange) override {
    const std::string path(exchange->Path());
    if (path == "/fault") {
      faults_[exchange->Parameter("at")] = exchange->Parameter("mode");
      exchange->Reply(200, kJson, "{}");
      return;
    }
    const std::string fault = FaultFor(*exchange);
    if (fault == "silent") {
      unanswered_.push_back(exchange);
      return;
    }
    if (fault == "refuse") {
      exchange->Reply(503, kJson, "{}");
      return;
    }
    Serve(exchange, path);
  }

 private:
  std::string FaultFor(const http_exchange& exchange) const {
    const auto found = faults_.find(exchange.Header("Host"));
    const auto general = faults_.find("");
    return found != faults_.end()     ? found->second
           : general != faults_.end() ? general->second
                                      : std::string();
  }

  void Serve(const exchange_ptr& exchange, const std::string& path) {
    if (path == "/kv-range") {
      ReadRange(*exchange);
    } else if (path == "/kv-watch") {
      Watch(exchange);
    } else if (path == "/kv-txn") {
      Write(exchange);
    } else if (path == "/kv-lease") {
      const auto wanted = json::parse(exchange->Body()).at("ttl-ms");
      const uint64_t id = ++last_lease_;
      leases_[id].time_to_live = std::chrono::milliseconds(wanted);
      ReplyLease(*exchange, id);
    } else if (path.starts_with("/kv-keep/")) {
      ReplyLease(*exchange, std::stoull(path.substr(9)));
    } else if (path.starts_with("/kv-lease-end/")) {
      EndLease(std::stoull(path.substr(14)));
      exchange->Reply(200, kJson, "{}");
    } else {
      exchange->Reply(404, kJson, "{}");
    }
  }

  void ReplyLease(http_exchange& exchange, uint64_t id) {
    const auto found = leases_.find(id);
    if (found == leases_.end()) {
      exchange.Reply(404, kJson, "{}");
      return;
    }
    lease& entry = found->second;
    entry.until = std::chrono::steady_clock::now() + entry.time_to_live;
    exchange.Reply(
        200, kJson,
        json({{"lease", id}, {"ttl-ms", entry.time_to_live.count()}}).dump());
  }

  void EndLease(uint64_t id) {
    if (leases_.erase(id) == 0) {
      return;
    }
    std::vector<std::string> keys;
    for (const auto& [key, entry] : items_) {
      if (entry.lease == id) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      Remove(key, ++revision_);
    }
    WakeWatches();
  }

  static json ToJson(const std::string& key, const item& entry) {
    return {{"key", key},
            {"value", entry.value},
            {"rev", entry.revision},
            {"created", entry.created},
            {"lease", entry.lease}};
  }

  void ReadRange(http_exchange& exchange) {
    const std::string prefix = exchange.Parameter("path-prefix");
    const std::string after = exchange.Parameter("after");
    json found = json::array();
    bool has_more = false;
    for (const auto& [key, entry] : items_) {
      if (!key.starts_with(prefix) || key <= after) {
        continue;
      }
      if (found.size() == kPageSize) {
        has_more = true;
        break;
      }
      found.push_back(ToJson(key, entry));
    }
    exchange.Reply(200, kJson,
                   json({{"items", found},
                         {"has-more", has_more},
                         {"store-revision", revision_}})
                       .dump());
  }

  void Watch(const exchange_ptr& exchange) {
    waiting_watch watch{.exchange = exchange,
                        .prefix = exchange->Parameter("path-prefix"),
                        .after = std::stoull(exchange->Parameter("after")),
                        .until = std::chrono::steady_clock::now() +
                                 std::chrono::milliseconds(std::stoull(
                                     exchange->Parameter("wait-ms")))};
    if (!ReplyWatch(watch, false)) {
      watches_.push_back(std::move(watch));
    }
  }

  /// Replies to \p watch when there are events, or when it \p has_timed_out;
  /// returns whether it did.
  bool ReplyWatch(const waiting_watch& watch, bool has_timed_out) {
    json events = json::array();
    for (const change& item : history_) {
      if (item.revision > watch.after && item.key.starts_with(watch.prefix)) {
        events.push_back(item.event);
      }
    }
    if (events.empty() && !has_timed_out) {
      return false;
    }
    watch.exchange->Reply(
        200, kJson,
        json({{"events", events}, {"store-revision", revision_}}).dump());
    return true;
  }

  void WakeWatches() {
    watches_.remove_if([this](const waiting_watch& watch) {
      return watch.exchange->IsClosed() || ReplyWatch(watch, false);
    });
  }

  void Remove(const std::string& key, uint64_t revision) {
    items_.erase(key);
    history_.push_back(
        {.key = key,
         .revision = revision,
         .event = {{"key", key}, {"rev", revision}, {"deleted", true}}});
  }

  void Put(const json& put, uint64_t revision) {
    const auto key = put.at("key").get<std::string>();
    item& entry = items_[key];
    entry.value = put.at("value").get<std::string>();
    entry.revision = revision;
    entry.created = entry.created == 0 ? revision : entry.created;
    entry.lease = put.value("lease", uint64_t{0});
    history_.push_back(
        {.key = key, .revision = revision, .event = ToJson(key, entry)});
  }

  void Write(const exchange_ptr& exchange) {
    const json body = json::parse(exchange->Body());
    for (const json& row : body.value("precondition", json::array())) {
      const auto found = items_.find(row.at("key").get<std::string>());
      const uint64_t now = found == items_.end() ? 0 : found->second.revision;
      if (now != row.at("rev").get<uint64_t>()) {
        exchange->Reply(412, kJson, R"({"items":[]})");
        return;
      }
    }
    for (const json& put : body.value("puts", json::array())) {
      const uint64_t wanted = put.value("lease", uint64_t{0});
      if (wanted != 0 && !leases_.contains(wanted)) {
        exchange->Reply(404, kJson, "{}");
        return;
      }
    }
    const uint64_t revision = ++revision_;
    for (const json& put : body.value("puts", json::array())) {
      Put(put, revision);
    }
    for (const json& key : body.value("remove", json::array())) {
      Remove(key.get<std::string>(), revision);
    }
    WakeWatches();
    if (FaultFor(*exchange) == "lost") {
      unanswered_.push_back(exchange);
      return;
    }
    exchange->Reply(200, kJson, json({{"rev", revision}}).dump());
  }

  /// Ends the leases that expired and the watches whose wait time has passed.
  void OnTick() {
    timer_.Start(kTick);
    const auto now = std::chrono::steady_clock::now();
    std::vector<uint64_t> ended;
    for (const auto& [id, entry] : leases_) {
      if (now >= entry.until) {
        ended.push_back(id);
      }
    }
    for (const uint64_t id : ended) {
      EndLease(id);
    }
    watches_.remove_if([&](const waiting_watch& watch) {
      return now >= watch.until && ReplyWatch(watch, true);
    });
  }

  loop_timer timer_;
  /// Fault modes by the address that is called; the empty address stands for
  /// all others.
  std::map<std::string, std::string> faults_;
  std::map<std::string, item> items_;
  std::map<uint64_t, lease> leases_;
  std::vector<change> history_;
  std::list<waiting_watch> watches_;
  std::vector<exchange_ptr> unanswered_;
  uint64_t revision_ = 1;
  uint64_t last_lease_ = 0;
};

int Main(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  std::string second;
  option_parser parser("store_stand_in", "[OPTION...]");
  parser.AddString("listen", listen, "Where to listen", "ADDRESS:PORT");
  parser.AddString("second", second, "Second address to listen on",
                   "ADDRESS:PORT");
  parser.Parse(ArgumentsOf(argc, argv));
  return RunStandIn(
      listen, [](event_base* base) { return std::make_unique<store>(base); },
      second);
}

}  // namespace
}  // namespace cuminswitch

int main(int argc, char** argv) {
  try {
    return cuminswitch::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "store_stand_in: " << error.what() << "\n";
    return 2;
  }
}
