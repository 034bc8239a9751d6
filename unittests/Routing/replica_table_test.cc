#include "cuminswitch/Routing/replica_table.h"

#include <gtest/gtest.h>

namespace cuminswitch {
namespace {

time_point At(int millis) {
  return time_point(std::chrono::milliseconds(millis));
}

configuration MakeConfiguration() {
  configuration config;
  config.models = {{.name = "m", .version = "2"}};
  config.upstreams = {
      {.name = "a", .failure_domain = "x", .serves = {"m"}, .max_in_flight = 8},
      {.name = "b",
       .failure_domain = "y",
       .serves = {"m"},
       .max_in_flight = 8}};
  return config;
}

upstream_report MakeReport(const std::string& name,
                           const std::string& version = "2") {
  return {.upstream = name,
          .reachable = true,
          .incarnation = 1,
          .models = {{.name = "m", .version = version}}};
}

class replica_table_test : public testing::Test {
 protected:
  replica_table_test() {
    table_.Reconfigure(At(0), MakeConfiguration());
    table_.OnReport(At(0), MakeReport("a"));
    table_.OnReport(At(0), MakeReport("b"));
  }

  std::vector<replica_index> Eligible(
      int millis,
      const std::vector<std::string>& domains = {}) const {
    return table_.ListEligible(At(millis), "m", domains, {}).indices;
  }

  replica_table table_;
};

TEST_F(replica_table_test, PlacementRuleLimitsFailureDomains) {
  EXPECT_EQ(Eligible(0), (std::vector<replica_index>{0, 1}));
  EXPECT_EQ(Eligible(0, {"y"}), (std::vector<replica_index>{1}));
}

TEST_F(replica_table_test, ReplicasWithOtherWeightsAreNotEligible) {
  table_.OnReport(At(0), MakeReport("a", "1"));
  EXPECT_EQ(Eligible(0), (std::vector<replica_index>{1}));
}

// Guards against requests on superseded weights after their bound, where the
// new weights were published long before this daemon learned of them.
TEST(superseded_weights_test, BoundCountsFromThePublication) {
  replica_table table({.old_weights_time = std::chrono::seconds(6),
                       .old_weights_limit = std::chrono::seconds(7)});
  configuration config = MakeConfiguration();
  table.Reconfigure(At(10'000), config);
  table.OnReport(At(10'000), MakeReport("a"));
  config.models[0].version = "3";
  config.models[0].published_after = At(20'000);
  table.SetModels(At(24'000), config.models);
  EXPECT_EQ(table.LastStart("m", "2"), At(27'000));
  EXPECT_EQ(table.ListEligible(At(25'900), "m", {}, {}).indices.size(), 1U);
  EXPECT_TRUE(table.ListEligible(At(26'100), "m", {}, {}).indices.empty());
}

TEST_F(replica_table_test, ReplicaThatMayChangeItsWeightsServesAtACost) {
  table_.SetChanging({.upstream = "a", .may_change = true});
  const eligible_replicas eligible = table_.ListEligible(At(0), "m", {}, {});
  ASSERT_EQ(eligible.indices.size(), 2U);
  EXPECT_GT(eligible.penalty_seconds[0], 0);
  EXPECT_EQ(eligible.penalty_seconds[1], 0);
  table_.SetChanging({.upstream = "a"});
  EXPECT_EQ(table_.ListEligible(At(0), "m", {}, {}).penalty_seconds[0], 0);
}

TEST_F(replica_table_test, LeavingAndUnreachableReplicasAreNotEligible) {
  upstream_report leaving = MakeReport("a");
  leaving.leaving = true;
  table_.OnReport(At(0), leaving);
  table_.OnReport(At(0), {.upstream = "b", .reachable = false});
  EXPECT_TRUE(Eligible(0).empty());
}

TEST_F(replica_table_test, FailingReplicaIsEjectedForLongerEachTime) {
  table_.OnFailure(At(0), 0);
  EXPECT_EQ(Eligible(100).size(), 1U);
  EXPECT_EQ(Eligible(600).size(), 2U);
  table_.OnFailure(At(600), 0);
  EXPECT_EQ(Eligible(1200).size(), 1U);
  EXPECT_EQ(Eligible(1700).size(), 2U);
}

// Guards against requests to replicas that this daemon does not reach, because
// the one that it reaches has failed a request.
TEST_F(replica_table_test, PrefersTheEjectedReplicaWithFewestFailures) {
  for (int i = 0; i < 3; ++i) {
    table_.OnFailure(At(0), 0);
  }
  table_.OnFailure(At(0), 1);
  EXPECT_EQ(Eligible(100), std::vector<replica_index>{1});
  table_.OnFailure(At(100), 1);
  table_.OnFailure(At(100), 1);
  EXPECT_EQ(Eligible(200).size(), 2U) << "they failed equally often";
}

// Guards against a replica that restarts after a crash, is overloaded at once
// and crashes again: its cache is empty, and it looks like the least busy
// replica.
TEST_F(replica_table_test, ReplicaInANewIncarnationRampsUp) {
  upstream_report restarted = MakeReport("a");
  restarted.incarnation = 2;
  table_.OnReport(At(10'000), restarted);
  const auto count_free_slots = [&](int millis) {
    int free_slots = 0;
    while (
        table_.ListEligible(At(millis), "m", {}, {{1}}).has_free_slot.at(0)) {
      table_.OnDispatch(0, 0);
      ++free_slots;
    }
    for (int i = 0; i < free_slots; ++i) {
      table_.OnEnd(0);
    }
    return free_slots;
  };
  EXPECT_EQ(count_free_slots(10'000), 2);
  EXPECT_EQ(count_free_slots(14'000), 8);
}

// Guards against a restarted upstream that gets no requests: it failed, was
// ejected for seconds and started again under the same id. The failures of the
// earlier process were counted against the new one.
TEST_F(replica_table_test, RestartOfAReplicaClearsItsFailures) {
  for (int i = 0; i < 5; ++i) {
    table_.OnFailure(At(0), 0);
  }
  ASSERT_EQ(Eligible(100).size(), 1U);
  const double speed = table_[0].prefill_rate;
  upstream_report restarted = MakeReport("a");
  restarted.incarnation = 2;
  restarted.started = 5;
  table_.OnReport(At(100), restarted);
  EXPECT_EQ(Eligible(100).size(), 2U);
  EXPECT_EQ(table_[0].prefill_rate, speed);
}

TEST_F(replica_table_test, NewWeightsDoNotClearFailures) {
  table_.OnFailure(At(0), 0);
  upstream_report changed = MakeReport("a");
  changed.incarnation = 2;
  table_.OnReport(At(100), changed);
  EXPECT_EQ(Eligible(100).size(), 1U);
}

TEST_F(replica_table_test, BusyResponseLowersTheLimit) {
  const double before = table_[0].limit;
  table_.OnBusy(At(0), 0);
  EXPECT_LT(table_[0].limit, before);
}

// Guards against requests that all wait for seconds in an engine under
// overload, because more requests are sent to an engine than it can start in
// time.
TEST_F(replica_table_test, LateFirstBytesLowerTheLimitAndPromptOnesRaiseIt) {
  const duration late = std::chrono::seconds(1);
  const duration prompt = std::chrono::milliseconds(50);
  for (int i = 0; i < 40; ++i) {
    table_.AdaptLimit(At(i * 1100), 0, late, 0.1);
  }
  EXPECT_EQ(table_[0].limit, 1);
  for (int i = 0; i < 8; ++i) {
    table_.OnDispatch(0, 0);
  }
  for (int i = 0; i < 1000; ++i) {
    table_.AdaptLimit(At(50'000 + i), 0, prompt, 0.1);
  }
  EXPECT_EQ(table_[0].limit, 8);
}

TEST_F(replica_table_test, LateFirstBytesOfOneQueueLowerTheLimitOnce) {
  const double before = table_[0].limit;
  for (int i = 0; i < 100; ++i) {
    table_.AdaptLimit(At(2000 + i), 0, std::chrono::seconds(1), 0.1);
  }
  EXPECT_EQ(table_[0].limit, 0.5 * before);
}

// Guards against a fleet that overloads every engine at its start, because each
// daemon uses the whole limit of an engine for itself.
TEST_F(replica_table_test, DaemonStartsWithItsShareOfTheLimit) {
  replica_table table;
  table.SetFleetSize(16);
  table.Reconfigure(At(0), MakeConfiguration());
  EXPECT_EQ(table[0].limit, 2);
}

TEST_F(replica_table_test, UnusedLimitIsNotRaised) {
  const double before = table_[0].limit;
  for (int i = 0; i < 100; ++i) {
    table_.AdaptLimit(At(i), 0, std::chrono::milliseconds(1), 0.1);
  }
  EXPECT_EQ(table_[0].limit, before);
}

TEST_F(replica_table_test, LoadReportDecaysWithAge) {
  upstream_report report = MakeReport("a");
  report.waiting = 160;
  table_.OnReport(At(0), report);
  EXPECT_NEAR(table_.EstimateQueueSeconds(At(0), 0), 10, 0.1);
  EXPECT_LT(table_.EstimateQueueSeconds(At(5000), 0), 1);
}

// Guards against a queue that all daemons avoid after it has become empty.
TEST_F(replica_table_test, PeerBacklogsDrainBetweenReports) {
  table_.at(0).prefill_rate = 10'000;
  const auto report = [this](int millis, const std::string& peer,
                             uint32_t tokens) {
    table_.OnPeerPlacements(
        At(millis),
        {.peer = peer,
         .backlogs = {{.upstream = table_[0].name_hash, .tokens = tokens}}});
  };
  report(1000, "p", 4'000);
  report(1200, "q", 4'000);
  EXPECT_NEAR(table_.EstimateQueueSeconds(At(1200), 0), 0.7, 0.001);
  EXPECT_NEAR(table_.EstimateQueueSeconds(At(1500), 0), 0.4, 0.001);
  table_.OnDispatch(0, 1'000);
  EXPECT_NEAR(table_.EstimateQueueSeconds(At(1950), 0), 0.1, 0.001);
  EXPECT_NEAR(table_.EstimateQueueSeconds(At(2150), 0), 0.1, 0.001);
  report(2150, "q", 2'000);
  table_.ExpirePeerBacklogs(At(2150));
  EXPECT_NEAR(table_.EstimateQueueSeconds(At(2200), 0), 0.25, 0.001);
}

TEST_F(replica_table_test, ReconfigurationKeepsCounts) {
  table_.OnDispatch(0, 10);
  configuration config = MakeConfiguration();
  config.upstreams.insert(config.upstreams.begin(),
                          {.name = "A0", .serves = {"m"}, .max_in_flight = 1});
  table_.Reconfigure(At(0), config);
  EXPECT_EQ(table_[0].spec.name, "a");
  EXPECT_EQ(table_[0].in_flight, 1U);
  EXPECT_EQ(Eligible(0), (std::vector<replica_index>{0, 1}));
}

// Guards against uneven load in a fleet of 63 daemons and 60 engines, where
// busy engines get more requests while others are idle. After a daemon's start,
// a response showed that engine a is five times as fast as the initial
// estimate. That estimate still held for engine b, which thus looked five times
// as slow.
TEST_F(replica_table_test, ReplicasWithoutASampleUseTheRateOfTheirTarget) {
  for (int i = 0; i < 20; ++i) {
    table_.LearnPrefillRate(0, 4000, std::chrono::milliseconds(100));
  }
  EXPECT_NEAR(table_[0].prefill_rate, 40000, 1000);
  EXPECT_NEAR(table_[1].prefill_rate, 40000, 1000);
}

TEST_F(replica_table_test, ReplicaWithASampleKeepsItsOwnRate) {
  table_.LearnPrefillRate(1, 1000, std::chrono::milliseconds(100));
  for (int i = 0; i < 20; ++i) {
    table_.LearnPrefillRate(0, 4000, std::chrono::milliseconds(100));
  }
  EXPECT_LT(table_[1].prefill_rate, 15000);
}

// Guards against an engine that joins later and gets no requests for seconds,
// because its prefill rate was the initial estimate.
TEST_F(replica_table_test, NewReplicaUsesTheRateOfItsTarget) {
  for (int i = 0; i < 20; ++i) {
    table_.LearnPrefillRate(0, 4000, std::chrono::milliseconds(100));
  }
  configuration larger = MakeConfiguration();
  larger.upstreams.push_back({.name = "c",
                              .failure_domain = "x",
                              .serves = {"m"},
                              .max_in_flight = 8});
  table_.Reconfigure(At(100), larger);
  EXPECT_NEAR(table_[2].prefill_rate, 40000, 1000);
}

TEST_F(replica_table_test, HitChanceFallsWithTheTokensAddedToCaches) {
  configuration config = MakeConfiguration();
  config.models[0].cache_tokens = 100'000;
  table_.Reconfigure(At(0), config);
  const duration age = std::chrono::seconds(5);
  table_.CountAdded(At(0), "m", 1'000);
  EXPECT_EQ(table_.HitChance(At(0), "m", age), 1);
  for (int i = 0; i < 100; ++i) {
    table_.CountAdded(At(0), "m", 9'000);
  }
  EXPECT_LT(table_.HitChance(At(0), "m", age), 0.1);
  EXPECT_EQ(table_.HitChance(At(0), "m", std::chrono::milliseconds(10)), 1);
}

// Guards against saved prefixes that are not found while engines change their
// weights: the preferred replica, and with it the store, was chosen only among
// the replicas that can serve now.
TEST_F(replica_table_test, PreferredReplicaStaysWhileItsWeightsChange) {
  const auto preferred = table_.PreferredReplica("m", 7);
  ASSERT_TRUE(preferred);
  table_.SetChanging(
      {.upstream = table_[*preferred].spec.name, .is_changing = true});
  EXPECT_EQ(table_.PreferredReplica("m", 7), preferred);
  EXPECT_FALSE(table_.PreferredReplica("unknown", 7));
}

TEST_F(replica_table_test, TracksTheMeanFirstByteOfATarget) {
  for (int i = 0; i < 200; ++i) {
    table_.LearnTargetFirstByte("m", std::chrono::milliseconds(500));
  }
  EXPECT_NEAR(ToSeconds(table_.MeanFirstByte("m")), 0.5, 0.01);
  EXPECT_EQ(table_.MeanFirstByte("unknown"), duration(0));
}

}  // namespace
}  // namespace cuminswitch
