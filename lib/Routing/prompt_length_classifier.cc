#include "cuminswitch/Routing/prompt_length_classifier.h"

#include <algorithm>
#include <cmath>

namespace cuminswitch {

/// Time constant of the decay of counted traffic, in seconds. The mix of length
/// classes changes over the hours of a day, and each move of the boundary makes
/// engines prefill shared prefixes again.
static constexpr double kDecaySeconds = 10;
/// Time after which a peer's report expires. Peers report several times within
/// this time.
static constexpr duration kPeerReportLifetime = std::chrono::seconds(10);
/// Requests that must have been counted before engines are reserved, so that a
/// single large prompt does not decide.
static constexpr double kMinRequests = 100;
/// Smallest share of the engines for a length class. With a smaller share, a
/// class would have too few engines to lose one.
static constexpr double kMinClassShare = 0.1;
/// Part of their share of all prefill that short prompts get as a share of the
/// engines. A request that arrives waits for what is left of the request in
/// service, which is several times as long for long prompts, so that they need
/// more spare capacity for the same wait.
static constexpr double kShortEnginesPerPrefill = 0.9;
/// Fewest engines for a length class, so that most of them are left when one
/// fails.
static constexpr double kMinEnginesPerClass = 4;
/// Fewest slots per engine, in concurrent requests. Engines with fewer slots
/// are often full by chance long before all engines of their class are.
static constexpr double kMinSlotsPerEngine = 32;
/// Largest number of slots held by requests with short prompts at which engines
/// are newly reserved, as a share of the slots of the engines to reserve.
static constexpr double kMaxHeldShareToReserve = 0.4;
/// The same bound while engines are already reserved. An overloaded fleet holds
/// more slots for that reason alone, and moving the boundary then would make it
/// prefill shared prefixes again.
static constexpr double kMaxHeldShareToKeep = 1.5;
/// Seconds of traffic that must have been observed before engines are reserved.
/// Slot time is counted when responses end, so that it is underestimated in the
/// first second.
static constexpr double kMinObservedSeconds = 3;

/// Returns the share of a decaying sum that remains after \p age.
static double RemainingShare(duration age) {
  return std::exp(-std::max(0.0, ToSeconds(age)) / kDecaySeconds);
}

void prompt_length_classifier::Decay(time_point now) {
  local_ = LocalMix(now);
  if (first_counted_at_ == time_point()) {
    first_counted_at_ = now;
  }
  local_at_ = now;
}

prompt_mix prompt_length_classifier::LocalMix(time_point now) const {
  if (first_counted_at_ == time_point()) {
    return {};
  }
  const double share = RemainingShare(now - local_at_);
  return {
      .requests = local_.requests * share,
      .prompt_tokens = local_.prompt_tokens * share,
      .short_prefill = local_.short_prefill * share,
      .long_prefill = local_.long_prefill * share,
      .short_held = local_.short_held * share,
      .seconds = kDecaySeconds * (1 - RemainingShare(now - first_counted_at_))};
}

void prompt_length_classifier::CountPrompt(time_point now,
                                           double prompt_tokens) {
  Decay(now);
  local_.requests += 1;
  local_.prompt_tokens += prompt_tokens;
}

void prompt_length_classifier::CountPrefill(time_point now,
                                            bool is_long,
                                            double tokens) {
  Decay(now);
  (is_long ? local_.long_prefill : local_.short_prefill) += tokens;
}

void prompt_length_classifier::CountShortSlotTime(time_point now,
                                                  duration held) {
  Decay(now);
  local_.short_held += ToSeconds(held);
}

void prompt_length_classifier::OnPeer(time_point now,
                                      const std::string& peer,
                                      const prompt_mix& report) {
  peers_[peer] = {.mix = report, .at = now};
  std::erase_if(peers_, [&](const auto& item) {
    return now - item.second.at > kPeerReportLifetime;
  });
  peers_sum_ = {};
  peers_reserving_ = 0;
  for (const auto& [name, item] : peers_) {
    Add(item.mix, peers_sum_);
    peers_reserving_ += item.mix.reserves_engines ? 1 : 0;
  }
}

void prompt_length_classifier::Add(const prompt_mix& mix, prompt_mix& sum) {
  sum.requests += mix.requests;
  sum.prompt_tokens += mix.prompt_tokens;
  sum.short_prefill += mix.short_prefill;
  sum.long_prefill += mix.long_prefill;
  sum.short_held += mix.short_held;
  sum.seconds += mix.seconds;
}

prompt_mix prompt_length_classifier::FleetMix(time_point now) const {
  prompt_mix sum = peers_sum_;
  Add(LocalMix(now), sum);
  return sum;
}

bool prompt_length_classifier::IsLong(time_point now,
                                      double prompt_tokens) const {
  const prompt_mix sum = FleetMix(now);
  return prompt_tokens * sum.requests > sum.prompt_tokens;
}

double prompt_length_classifier::ShortShare(time_point now,
                                            const engine_slots& engines) const {
  if (engines.count == 0 ||
      engines.slots < kMinSlotsPerEngine * engines.count) {
    return 0;
  }
  const prompt_mix sum = FleetMix(now);
  const double prefill_tokens = sum.short_prefill + sum.long_prefill;
  if (sum.requests < kMinRequests || prefill_tokens <= 0 || sum.seconds <= 0) {
    return 0;
  }
  const double prefill_share = sum.short_prefill / prefill_tokens;
  const double smaller_share = std::min(prefill_share, 1 - prefill_share);
  if (smaller_share < kMinClassShare ||
      smaller_share * engines.count < kMinEnginesPerClass) {
    return 0;
  }
  const double share = kShortEnginesPerPrefill * prefill_share;
  const double daemons = static_cast<double>(peers_.size()) + 1;
  const double seconds = sum.seconds / daemons;
  const double held = sum.short_held / seconds;
  const bool are_reserved = 2 * peers_reserving_ > peers_.size();
  const double max_held_share =
      are_reserved ? kMaxHeldShareToKeep : kMaxHeldShareToReserve;
  const bool has_enough_traffic =
      are_reserved || seconds >= kMinObservedSeconds;
  return has_enough_traffic && held <= max_held_share * share * engines.slots
             ? share
             : 0;
}

}  // namespace cuminswitch
