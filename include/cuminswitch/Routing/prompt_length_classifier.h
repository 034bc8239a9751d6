/// \file
/// Classifies prompts by length and reserves engines for the short ones.
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
  /// Requests that all of these engines together run concurrently.
  double slots = 0;
};

/// Separates short from long prompts. An engine prefills prompts in chunks
/// between the decoding steps of its running requests. While it has about half
/// a second of prefill queued, every response that it generates stalls, however
/// low its average load. Long prompts are therefore sent to some engines and
/// short prompts to the others.
///
/// This is size-interval task assignment: prompts longer than the mean are
/// long, and the classes share the engines almost as they share all prefill,
/// with a little more for long prompts. Both follow from the traffic that all
/// daemons report, so that daemons agree on the boundary without a message of
/// their own.
/// Whether engines are reserved at all follows the majority of the daemons, so
/// that a daemon that has just started agrees with the others.
class prompt_length_classifier {
 public:
  /// Counts an arriving request.
  void CountPrompt(time_point now, double prompt_tokens);
  /// Counts prompt tokens that an engine has to prefill for a request.
  void CountPrefill(time_point now, bool is_long, double tokens);
  /// Counts the time for which a request with a short prompt held an engine
  /// slot.
  void CountShortSlotTime(time_point now, duration held);
  /// Applies a peer's report of its traffic, which replaces its previous
  /// report.
  void OnPeer(time_point now,
              const std::string& peer,
              const prompt_mix& report);
  /// Returns this daemon's exponentially decayed recent traffic.
  prompt_mix LocalMix(time_point now) const;

  bool IsLong(time_point now, double prompt_tokens) const;
  /// Returns the share of the engines that is reserved for short prompts. It is
  /// 0 when there is only one length class, when too little traffic is known,
  /// or when slots are the bottleneck: then throughput is higher if all engines
  /// are shared.
  double ShortShare(time_point now, const engine_slots& engines) const;

 private:
  struct peer_report {
    prompt_mix mix;
    time_point at{};
  };

  prompt_mix FleetMix(time_point now) const;
  void Decay(time_point now);
  static void Add(const prompt_mix& mix, prompt_mix& sum);

  prompt_mix local_;
  time_point local_at_{};
  /// When the first request was counted.
  time_point first_counted_at_{};
  std::map<std::string, peer_report> peers_;
  prompt_mix peers_sum_;
  /// Number of peers that reserve engines for short prompts.
  size_t peers_reserving_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_ROUTING_PROMPT_LENGTH_CLASSIFIER_H_
