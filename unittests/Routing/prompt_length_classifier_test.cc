// Tests of the length classes of prompts and the engines reserved for them.
#include "cuminswitch/Routing/prompt_length_classifier.h"

#include <gtest/gtest.h>

#include <string>

namespace cuminswitch {
namespace {

constexpr engine_slots kSlots = {.count = 60, .slots = 3'840};

time_point At(double seconds) {
  return time_point(FromSeconds(100 + seconds));
}

/// Counts 10 s of traffic, with the given numbers of short and long requests in
/// every 0.1 s.
void Feed(prompt_length_classifier& classifier, int shorts, int longs) {
  for (int i = 0; i < 100; ++i) {
    const time_point now = At(i * 0.1);
    for (int j = 0; j < shorts; ++j) {
      classifier.CountPrompt(now, 800);
      classifier.CountPrefill(now, false, 600);
    }
    for (int j = 0; j < longs; ++j) {
      classifier.CountPrompt(now, 9'000);
      classifier.CountPrefill(now, true, 3'000);
    }
  }
}

TEST(prompt_length_classifier_test, EnginesAreNearlySharedLikeAllPrefill) {
  prompt_length_classifier classifier;
  Feed(classifier, 5, 2);
  EXPECT_FALSE(classifier.IsLong(At(10), 800));
  EXPECT_TRUE(classifier.IsLong(At(10), 9'000));
  EXPECT_NEAR(classifier.ShortShare(At(10), kSlots), 0.9 / 3, 0.01);
}

// Guards against short requests that wait for a slot while other engines have
// free ones. With engines of few slots this affected half of them, because the
// number of reserved engines followed from prefill alone.
TEST(prompt_length_classifier_test, SharesAllEnginesWhenSlotsAreTheBottleneck) {
  prompt_length_classifier classifier;
  Feed(classifier, 5, 2);
  for (int i = 0; i < 500; ++i) {
    classifier.CountShortSlotTime(At(10), std::chrono::seconds(10));
  }
  EXPECT_GT(classifier.ShortShare(At(10), {.count = 150, .slots = 10'000}), 0);
  EXPECT_EQ(classifier.ShortShare(At(10), {.count = 30, .slots = 2'000}), 0);
}

TEST(prompt_length_classifier_test, SharesAllEnginesWhenThereAreFew) {
  prompt_length_classifier classifier;
  Feed(classifier, 5, 2);
  EXPECT_EQ(classifier.ShortShare(At(10), {.count = 11, .slots = 11 * 64.0}),
            0);
  EXPECT_GT(classifier.ShortShare(At(10), {.count = 13, .slots = 13 * 64.0}),
            0);
}

TEST(prompt_length_classifier_test, SharesAllEnginesWhenTheyHaveFewSlots) {
  prompt_length_classifier classifier;
  Feed(classifier, 5, 2);
  EXPECT_GT(classifier.ShortShare(At(10), {.count = 60, .slots = 60 * 64.0}),
            0);
  EXPECT_EQ(classifier.ShortShare(At(10), {.count = 160, .slots = 160 * 24.0}),
            0);
}

// An overloaded fleet holds more slots. If the reservation were dropped then,
// prefixes would be prefilled at other engines just when capacity is short.
TEST(prompt_length_classifier_test,
     KeepsTheReservationOfMostPeersDuringAnOverload) {
  prompt_length_classifier classifier;
  Feed(classifier, 5, 2);
  for (int i = 0; i < 500; ++i) {
    classifier.CountShortSlotTime(At(10), std::chrono::seconds(10));
  }
  prompt_mix keeping = classifier.LocalMix(At(10));
  keeping.reserves_engines = true;
  classifier.OnPeer(At(10), "peer", keeping);
  EXPECT_GT(classifier.ShortShare(At(10), {.count = 78, .slots = 5'000}), 0);
}

TEST(prompt_length_classifier_test, SharesAllEnginesWithOneLengthClass) {
  prompt_length_classifier classifier;
  Feed(classifier, 5, 0);
  EXPECT_EQ(classifier.ShortShare(At(10), kSlots), 0);
}

TEST(prompt_length_classifier_test, ReservesNothingAfterAFewRequests) {
  prompt_length_classifier classifier;
  classifier.CountPrompt(At(0), 800);
  classifier.CountPrefill(At(0), false, 600);
  classifier.CountPrompt(At(0), 9'000);
  classifier.CountPrefill(At(0), true, 3'000);
  EXPECT_EQ(classifier.ShortShare(At(0), kSlots), 0);
}

// Guards against engines that get long prompts from some daemons and short ones
// from others, so that prefixes are prefilled twice: each daemon derived the
// boundary only from the few requests that it received itself.
TEST(prompt_length_classifier_test,
     DaemonsWithDifferentTrafficAgreeOnTheBoundary) {
  prompt_length_classifier first;
  prompt_length_classifier second;
  Feed(first, 9, 1);
  Feed(second, 1, 3);
  const prompt_mix first_mix = first.LocalMix(At(10));
  const prompt_mix second_mix = second.LocalMix(At(10));
  first.OnPeer(At(10), "second", second_mix);
  second.OnPeer(At(10), "first", first_mix);
  EXPECT_NEAR(first.ShortShare(At(10), kSlots),
              second.ShortShare(At(10), kSlots), 1e-9);
  // A daemon that has just started learns the boundary from its peers.
  prompt_length_classifier third;
  third.OnPeer(At(10), "first", first_mix);
  third.OnPeer(At(10), "second", second_mix);
  EXPECT_NEAR(third.ShortShare(At(10), kSlots),
              first.ShortShare(At(10), kSlots), 1e-9);
  EXPECT_TRUE(third.IsLong(At(10), 9'000));
}

TEST(prompt_length_classifier_test, ExpiresTheReportOfAPeer) {
  prompt_length_classifier classifier;
  prompt_length_classifier peer;
  Feed(peer, 5, 2);
  classifier.OnPeer(At(10), "peer", peer.LocalMix(At(10)));
  EXPECT_GT(classifier.ShortShare(At(10), kSlots), 0);
  classifier.OnPeer(At(30), "other", {});
  EXPECT_EQ(classifier.ShortShare(At(30), kSlots), 0);
}

}  // namespace
}  // namespace cuminswitch
