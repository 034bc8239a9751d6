/// \file
/// Which prompts are long, and how many engines are kept for the short ones.
#ifndef CUMINSWITCH_ROUTING_PROMPT_LENGTH_CLASSIFIER_H_
#define CUMINSWITCH_ROUTING_PROMPT_LENGTH_CLASSIFIER_H_

#include <map>
#include <string>

#include "cuminswitch/Protocol/core_event.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// The engines that serve one target.
struct engine_slots {
  double count = 0;
  /// Requests that all of them together run at once.
  double slots = 0;
};

/// Answers a mix of short and long prompts. An engine reads a prompt in pieces
/// between the tokens of the answers that it makes, so while it has some half a
/// second of reading every answer there pauses, however idle it is on average.
/// Long prompts therefore go to some engines and short ones to the others.
///
/// Size-interval task assignment with equal load: a prompt is long that is
/// longer than the mean, and each kind has the part of the engines that its
/// reading is of all reading. Both follow from what all daemons tell of their
/// traffic, so they draw the same boundary without a message of their own; and
/// whether engines are kept at all follows the most of them, so that one that
/// has just started does as the others do.
class prompt_length_classifier {
 public:
  /// Counts a request that arrives.
  void CountPrompt(time_point now, double prompt_tokens);
  /// Counts prompt tokens that an engine is to read for a request.
  void CountRead(time_point now, bool is_long, double tokens);
  /// Counts how long an answer to a short prompt held a slot of an engine.
  void CountShortHeld(time_point now, duration held);
  /// Takes in what a peer tells of its traffic; replaces what it told before.
  void OnPeer(time_point now, const std::string& peer, const prompt_mix& told);
  /// This daemon's traffic of late.
  prompt_mix Own(time_point now) const;

  bool IsLong(time_point now, double prompt_tokens) const;
  /// The part of the engines that is kept for short prompts; 0 for none, where
  /// there is one kind only, too little is known, or slots are what binds: then
  /// the engines serve more if all are shared.
  double ShortShare(time_point now, const engine_slots& engines) const;

 private:
  struct told_mix {
    prompt_mix mix;
    time_point at{};
  };

  prompt_mix Sum(time_point now) const;
  void Decay(time_point now);
  static void Add(const prompt_mix& mix, prompt_mix& sum);

  prompt_mix own_;
  time_point own_at_{};
  /// When the first request was counted.
  time_point first_at_{};
  std::map<std::string, told_mix> peers_;
  prompt_mix peers_sum_;
  /// Of them, those that keep engines for short prompts.
  size_t peers_keeping_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_PROMPT_LENGTH_CLASSIFIER_H_
