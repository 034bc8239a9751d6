// What single steps of a daemon cost as the fleet grows, with ten upstreams a
// host. Prints the table that docs/CAPACITY.md holds.
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
void operator delete(void* memory) noexcept {
  std::free(memory);
}
void operator delete(void* memory, size_t /*size*/) noexcept {
  std::free(memory);
}

namespace cuminswitch::platform {
namespace {

constexpr time_point kNow{std::chrono::seconds(100)};
constexpr recovery_window kReturned{.until = kNow + std::chrono::seconds(2),
                                    .last_removal = 1};
constexpr size_t kUpstreamsPerHost = 10;
constexpr int kRepeats = 60;

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

class lone_daemon : public shard_directory {
 public:
  const member* FindOwner(shard_number /*shard*/) const override {
    return nullptr;
  }
  size_t CountServing() const override { return 1; }
};

/// The parts of one daemon that know the fleet.
class daemon_parts {
 public:
  explicit daemon_parts(size_t hosts) {
    std::vector<item_change> items;
    for (size_t i = 0; i < hosts * kUpstreamsPerHost; ++i) {
      items.push_back({.key = "servers/" + IdOf(i),
                       .value = UpstreamText(i, "ready", 1),
                       .revision = ++revision_});
    }
    TakeIn(items);
    for (const upstream_ref& entry : directory_.List()) {
      lapsed_.Apply(kNow, {.id = entry->id, .entry = entry}, kReturned);
      lapsed_.Apply(kNow, {.id = entry->id, .revision = 1}, kReturned);
    }
    for (size_t i = 0; i < hosts; ++i) {
      roster_.OnHeartbeat(kNow, BeatOf(i));
    }
    roster_.TakeChanged(kNow);
  }

  /// Takes in changed items, from the store's answer to the router.
  void TakeIn(std::span<const item_change> items) {
    const std::vector<std::string> keys = view_.ApplyChanges(items, revision_);
    const decoded_items decoded = decoder_.Decode(view_, keys);
    for (const std::string& key : decoded.changed_keys) {
      view_.MarkForRelay(key);
    }
    for (const upstream_entry_update& news : decoded.upstreams) {
      directory_.Apply(kNow, news, {});
    }
    std::vector<upstream_update> updates;
    for (const upstream_change& change : directory_.TakeChanges()) {
      updates.push_back(TranslateUpstream(*change.after));
    }
    action_list actions;
    router_.OnUpstreams(kNow, updates, actions);
  }

  void Renew() { ChangeOne("ready"); }
  void Drain() { ChangeOne(++turn_ % 2 == 0 ? "ready" : "draining"); }
  void Tick() {
    action_list actions;
    router_.OnTick(kNow, actions);
    router_.ListBacklogs();
  }
  void Beat() {
    roster_.OnHeartbeat(kNow, BeatOf(3));
    roster_.SampleAlive(kNow);
  }
  void KeepLapsed() { lapsed_.Expire(kNow, kReturned); }
  void TellNews() { view_.ListRelayedSince(view_.relay_revision() - 1); }

 private:
  static heartbeat_frame BeatOf(size_t host) {
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
    TakeIn(std::span(&change, 1));
  }

  event_log log_{{.descriptor = -1}};
  item_view view_;
  document_decoder decoder_{log_};
  upstream_directory directory_;
  /// All entries lapsed with the store, and are kept.
  upstream_directory lapsed_;
  lone_daemon members_;
  request_router router_{{}, members_};
  peer_table roster_{{.self_name = "self"}};
  revision_number revision_ = 0;
  size_t turn_ = 0;
};

struct step_cost {
  size_t allocations = 0;
  double microseconds = 0;
};

/// The least that one of many calls of \p step costs; others are disturbed.
step_cost Measure(const std::function<void()>& step) {
  step_cost least{.allocations = SIZE_MAX, .microseconds = 1e9};
  for (int i = 0; i < kRepeats; ++i) {
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

// A daemon of a large fleet spends its time on what others do: each change of
// one upstream, each tick and each beat visited all upstreams or all hosts.
TEST(fleet_growth_test, OneStepCostsTheSameInALargeFleet) {
  constexpr named_step kSteps[] = {
      {"an upstream renews its item", &daemon_parts::Renew},
      {"an upstream changes", &daemon_parts::Drain},
      {"a tick of the router", &daemon_parts::Tick},
      {"a beat comes and one goes", &daemon_parts::Beat},
      {"news for a peer", &daemon_parts::TellNews},
      {"a tick while all are kept", &daemon_parts::KeepLapsed}};
  // Lookups take a few steps more and miss the processor's caches; a walk over
  // 67 times as many costs 67 times as much.
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
