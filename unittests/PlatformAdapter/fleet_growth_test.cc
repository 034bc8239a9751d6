// The cost of single operations of a daemon as the fleet grows, at ten
// upstreams per host. Prints the figures of the table in docs/CAPACITY.md.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <iterator>
#include <map>
#include <new>
#include <string>
#include <vector>

#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Edge/routing_config_translator.h"
#include "cuminswitch/Edge/weights_version_counter.h"
#include "cuminswitch/Fleet/peer_table.h"
#include "cuminswitch/Fleet/store_outage_tracker.h"
#include "cuminswitch/Fleet/upstream_directory.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Protocol/shard_directory.h"
#include "platform/document_decoder.h"

static size_t allocation_count = 0;

void* operator new(size_t size) {
  ++allocation_count;
  if (void* memory = std::malloc(size)) {
    return memory;
  }
  throw std::bad_alloc();
}
// Not inlined: GCC on x86-64 inlines these but not the replaced operator new,
// and then reports free() on memory from operator new as a mismatch.
[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}
[[gnu::noinline]] void operator delete(void* memory, size_t /*size*/) noexcept {
  std::free(memory);
}

namespace cuminswitch::platform {
namespace {

constexpr time_point kNow{std::chrono::seconds(100)};
constexpr recovery_window kRecoveryWindow{
    .until = kNow + std::chrono::seconds(2),
    .last_removal = 1};
constexpr size_t kUpstreamsPerHost = 10;
constexpr int kMeasurements = 60;

std::string IdOf(size_t number) {
  return "i-" + std::to_string(1'000'000 + number);
}

std::string UpstreamText(size_t number, std::string_view state, size_t seq) {
  const std::string address = "10." + std::to_string(number / 50'000) + "." +
                              std::to_string(number / 250 % 200) + "." +
                              std::to_string(number % 250);
  return R"({"backend":"s1","address":")" + address +
         R"(:80","zone":"z","version":"v1","slots":24,"state":")" +
         std::string(state) +
         R"(","cold-left-ms":0,"models":[{"name":"m","version":1,"adapters":[]}],"seq":)" +
         std::to_string(seq) + "}";
}

class single_daemon_directory : public shard_directory {
 public:
  const member* FindOwner(shard_number /*shard*/) const override {
    return nullptr;
  }
  size_t CountServing() const override { return 1; }
};

/// The components of one daemon that hold state about the whole fleet.
class daemon_parts {
 public:
  explicit daemon_parts(size_t hosts) {
    std::vector<item_change> items;
    for (size_t i = 0; i < hosts * kUpstreamsPerHost; ++i) {
      items.push_back({.key = "servers/" + IdOf(i),
                       .value = UpstreamText(i, "ready", 1),
                       .revision = ++revision_});
    }
    ApplyItems(items);
    for (const upstream_ref& entry : directory_.List()) {
      retained_.Apply(kNow, {.id = entry->id, .entry = entry}, kRecoveryWindow);
      retained_.Apply(kNow, {.id = entry->id, .revision = 1}, kRecoveryWindow);
    }
    for (size_t i = 0; i < hosts; ++i) {
      peers_.OnHeartbeat(kNow, MakeHeartbeat(i));
    }
    peers_.TakeChanged(kNow);
  }

  /// Applies changed items along the whole path from a store reply to the
  /// router.
  void ApplyItems(std::span<const item_change> items) {
    const std::vector<std::string> keys = view_.ApplyChanges(items, revision_);
    const decoded_items decoded = decoder_.Decode(view_, keys);
    for (const std::string& key : decoded.changed_keys) {
      view_.MarkForRelay(key);
    }
    for (const upstream_entry_update& update : decoded.upstreams) {
      directory_.Apply(kNow, update, {});
    }
    std::vector<upstream_update> updates;
    for (const upstream_change& change : directory_.TakeChanges()) {
      updates.push_back(TranslateUpstream(*change.after));
    }
    action_list actions;
    router_.OnUpstreams(kNow, updates, actions);
  }

  void Renew() { ChangeOne("ready"); }
  void Drain() { ChangeOne(++drain_count_ % 2 == 0 ? "ready" : "draining"); }
  void Tick() {
    action_list actions;
    router_.OnTick(kNow, actions);
    router_.ListBacklogs();
  }
  void ExchangeHeartbeat() {
    peers_.OnHeartbeat(kNow, MakeHeartbeat(3));
    peers_.SampleAlive(kNow);
  }
  void ExpireRetained() { retained_.Expire(kNow, kRecoveryWindow); }
  void ListUpdates() { view_.ListRelayedSince(view_.relay_revision() - 1); }

 private:
  static heartbeat_frame MakeHeartbeat(size_t host) {
    const endpoint address{.address = "10.9." + std::to_string(host / 250) +
                                      "." + std::to_string(host % 250),
                           .port = 70};
    return {.sender = {.name = "host-in-a-failure-domain-" +
                               std::to_string(10'000 + host),
                       .incarnation = 1,
                       .peer_address = address,
                       .caller_address = address,
                       .failure_domain = "z",
                       .is_ready = true}};
  }
  void ChangeOne(std::string_view state) {
    const item_change change{.key = "servers/" + IdOf(7),
                             .value = UpstreamText(7, state, revision_),
                             .revision = ++revision_};
    ApplyItems(std::span(&change, 1));
  }

  event_log log_{{.descriptor = -1}};
  item_view view_;
  document_decoder decoder_{log_};
  upstream_directory directory_;
  /// All of its entries expired during a store outage and are retained.
  upstream_directory retained_;
  single_daemon_directory members_;
  request_router router_{{}, members_};
  peer_table peers_{{.self_name = "self"}};
  revision_number revision_ = 0;
  size_t drain_count_ = 0;
};

struct step_cost {
  size_t allocations = 0;
  double microseconds = 0;
};

/// Returns the minimum cost of a call of \p step over `kMeasurements` calls;
/// the others are disturbed by the rest of the system.
step_cost Measure(const std::function<void()>& step) {
  step_cost least{.allocations = SIZE_MAX, .microseconds = 1e9};
  for (int i = 0; i < kMeasurements; ++i) {
    const size_t before = allocation_count;
    const auto begin = std::chrono::steady_clock::now();
    step();
    const std::chrono::duration<double, std::micro> took =
        std::chrono::steady_clock::now() - begin;
    least.allocations = std::min(least.allocations, allocation_count - before);
    least.microseconds = std::min(least.microseconds, took.count());
  }
  return least;
}

struct named_step {
  const char* name;
  void (daemon_parts::*run)();
};

// Guards against operations whose cost grows with the fleet: each change of one
// upstream, each tick and each heartbeat visited all upstreams or all hosts, so
// that a daemon of a large fleet spent its time on them.
TEST(fleet_growth_test, CostOfOneStepDoesNotGrowWithFleet) {
  constexpr named_step kSteps[] = {
      {"an upstream renews its item", &daemon_parts::Renew},
      {"an upstream changes", &daemon_parts::Drain},
      {"a tick of the router", &daemon_parts::Tick},
      {"a heartbeat in and one out", &daemon_parts::ExchangeHeartbeat},
      {"updates for a peer", &daemon_parts::ListUpdates},
      {"a tick with all retained", &daemon_parts::ExpireRetained}};
  // Allowed growth from 30 to 2,000 hosts. Lookups take a few more steps and
  // miss the processor's caches; a walk over 67 times as many costs 67 times as
  // much.
  constexpr double kLookupGrowth = 12;
  constexpr double kNoiseMicroseconds = 5;
  std::map<std::string, step_cost> small;
  for (const size_t hosts : {30, 100, 300, 1000, 2000}) {
    daemon_parts parts(hosts);
    for (const named_step& step : kSteps) {
      const step_cost cost = Measure([&] { (parts.*step.run)(); });
      std::printf("%5zu hosts  %-28s %3zu allocations %8.1f us\n", hosts,
                  step.name, cost.allocations, cost.microseconds);
      const auto [first, is_first] = small.try_emplace(step.name, cost);
      EXPECT_LE(cost.allocations, first->second.allocations + 4) << step.name;
      EXPECT_LE(cost.microseconds,
                kLookupGrowth * first->second.microseconds + kNoiseMicroseconds)
          << step.name << ", " << hosts << " hosts";
    }
  }
}

}  // namespace
}  // namespace cuminswitch::platform
