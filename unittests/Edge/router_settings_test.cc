// The router's options on the platform.
#include "cuminswitch/Edge/router_settings.h"

#include <gtest/gtest.h>

#include <random>

#include "cuminswitch/Routing/replica_table.h"

namespace cuminswitch {
namespace {

/// A daemon starts and finds an engine with weights that were superseded.
class starting_daemon_test : public testing::Test {
 protected:
  starting_daemon_test() {
    configuration config;
    config.models = {{.name = "m", .version = "3", .published_after = start_}};
    config.upstreams = {{.name = "a", .serves = {"m"}, .max_in_flight = 8}};
    table_.Reconfigure(start_, config);
    Report("2");
  }
  void Report(const std::string& version) {
    table_.OnReport(start_, {.upstream = "a",
                             .reachable = true,
                             .incarnation = 1,
                             .models = {{.name = "m", .version = version}}});
  }
  bool MayServe(duration since_start) const {
    return !table_.ListEligible(start_ + since_start, "m", {}, {})
                .indices.empty();
  }

  time_point start_{std::chrono::seconds(100)};
  replica_table table_{
      MakeRouterOptions(
          {.old_weights_time = std::chrono::seconds(6), .now = start_})
          .replicas};
  std::vector<weights_publication> learned_ = {
      {.target = "m",
       .version = "3",
       .superseded = "2",
       .since = start_ - std::chrono::seconds(2)}};
};

// Guards against requests on superseded weights after their bound, at a daemon
// that starts after it and takes the publication for new.
TEST_F(starting_daemon_test, RefusesWeightsThatWereSupersededAtAnUnknownTime) {
  EXPECT_FALSE(MayServe(duration(0)));
  EXPECT_TRUE(table_.LacksPublications());
  Report("3");
  EXPECT_TRUE(MayServe(duration(0)));
  EXPECT_FALSE(table_.LacksPublications());
}

TEST_F(starting_daemon_test, UsesSupersededWeightsUpToTheLearnedBound) {
  EXPECT_EQ(table_.LearnPublications(learned_), learned_);
  EXPECT_FALSE(table_.LacksPublications());
  EXPECT_TRUE(MayServe(std::chrono::seconds(3)));
  EXPECT_FALSE(MayServe(std::chrono::seconds(4)));
  EXPECT_TRUE(table_.ListPublications(start_).empty())
      << "it did not witness the publication";
}

// Guards against a bound that counts from the last publication for all weights
// that it found: those before the superseded ones are older.
TEST_F(starting_daemon_test, RefusesWeightsOfTwoPublicationsAgo) {
  Report("1");
  table_.LearnPublications(learned_);
  EXPECT_FALSE(MayServe(duration(0)));
  EXPECT_TRUE(table_.LacksPublications());
  learned_.push_back({.target = "m",
                      .version = "2",
                      .superseded = "1",
                      .since = start_ - std::chrono::seconds(4)});
  EXPECT_EQ(table_.LearnPublications(learned_).size(), 1U);
  EXPECT_TRUE(MayServe(std::chrono::seconds(1)));
  EXPECT_FALSE(MayServe(std::chrono::seconds(2)));
}

TEST_F(starting_daemon_test, LearnsNothingOfPublicationsThatItWitnesses) {
  const time_point published = start_ + std::chrono::seconds(10);
  const std::vector<model_spec> models = {
      {.name = "m", .version = "4", .published_after = published}};
  table_.SetModels(published, models);
  Report("3");
  learned_ = {{.target = "m",
               .version = "4",
               .superseded = "3",
               .since = published + std::chrono::seconds(2)}};
  EXPECT_TRUE(table_.LearnPublications(learned_).empty());
  learned_[0].since = published;
  EXPECT_EQ(table_.ListPublications(published), learned_);
  EXPECT_FALSE(MayServe(std::chrono::seconds(16)));
}

// Guards against a daemon that hangs on publications that contradict each
// other.
TEST_F(starting_daemon_test, LearnsContradictoryPublicationsOnce) {
  learned_.push_back({.target = "m",
                      .version = "2",
                      .superseded = "3",
                      .since = start_ - std::chrono::seconds(4)});
  EXPECT_EQ(table_.LearnPublications(learned_).size(), 1U);
  EXPECT_TRUE(table_.LearnPublications(learned_).empty());
}

// Guards against a history that grows with each publication that a peer or the
// store reports.
TEST_F(starting_daemon_test, LearnsABoundedNumberOfPublications) {
  learned_.clear();
  for (int version = 3; version > -1000; --version) {
    learned_.push_back({.target = "m",
                        .version = std::to_string(version),
                        .superseded = std::to_string(version - 1),
                        .since = start_ - std::chrono::seconds(2)});
  }
  EXPECT_LT(table_.LearnPublications(learned_).size(), 20U);
}

// Guards against a daemon that hangs on what the store or a peer says.
TEST_F(starting_daemon_test, LearnsArbitraryPublications) {
  std::mt19937 random(1);
  const auto draw = [&] {
    const size_t version = random() % 24;
    return version == 0 ? std::string() : std::to_string(version);
  };
  for (size_t length = 0; length < 200; ++length) {
    learned_.resize(length);
    for (weights_publication& item : learned_) {
      item = {.target = "m",
              .version = draw(),
              .superseded = draw(),
              .since = start_ - std::chrono::seconds(random() % 8)};
    }
    table_.LearnPublications(learned_);
    EXPECT_TRUE(table_.LearnPublications(learned_).empty());
  }
}

/// A daemon uses the engine "a" with version "3" of the weights.
class published_versions_test : public starting_daemon_test {
 protected:
  published_versions_test() {
    Report("3");
    Publish("3");
  }
  void Publish(const std::string& version) {
    const std::vector<model_spec> models = {
        {.name = "m", .version = version, .published_after = start_}};
    table_.SetModels(start_, models);
  }
};

// Guards against an absence of all engines that supersedes their weights: once
// a version was published, no engine with the previous one was used any more.
TEST_F(published_versions_test, AbsenceOfEnginesSupersedesNothing) {
  Publish("");
  EXPECT_FALSE(table_.LastStart("m", "3"));
  Publish("3");
  EXPECT_TRUE(table_.ListPublications(start_).empty());
  Publish("4");
  ASSERT_EQ(table_.ListPublications(start_).size(), 1U);
  EXPECT_EQ(table_.ListPublications(start_)[0].superseded, "3");
  EXPECT_TRUE(MayServe(std::chrono::seconds(3)));
}

// Guards against publications that supersede each other in a cycle.
TEST_F(published_versions_test, VersionThatIsPublishedAgainIsNotSuperseded) {
  Publish("4");
  Publish("3");
  EXPECT_FALSE(table_.LastStart("m", "3"));
  ASSERT_EQ(table_.ListPublications(start_).size(), 1U);
  EXPECT_EQ(table_.ListPublications(start_)[0].superseded, "4");
}

}  // namespace
}  // namespace cuminswitch
