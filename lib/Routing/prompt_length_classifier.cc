#include "cuminswitch/Routing/prompt_length_classifier.h"

#include <algorithm>
#include <cmath>

namespace cuminswitch {

/// Time constant of the decay of counted traffic, in seconds. The mix of length
/// classes changes over the hours of a day, and each move of the boundary makes
/// engines prefill shared prefixes again.
static constexpr double kMixSeconds = 10;
/// Time after which a peer's report expires. Peers report several times within
/// this time.
static constexpr duration kPeerTime = std::chrono::seconds(10);
/// Requests that must have been counted before engines are reserved, so that a
/// single large prompt does not decide.
static constexpr double kLeastRequests = 100;
/// Smallest share of the engines for a length class. With a smaller share, a
/// class would have too few engines to lose one.
static constexpr double kLeastPart = 0.1;
/// Fewest engines for a length class, so that most of them are left when one
/// fails.
static constexpr double kLeastEngines = 4;
/// Fewest slots per engine, in concurrent requests. Engines with fewer slots
/// are often full by chance long before all engines of their class are.
static constexpr double kLeastSlots = 32;
/// Largest number of slots held by requests with short prompts at which engines
/// are newly reserved, as a share of the slots of the engines to reserve.
static constexpr double kMostHeldToBegin = 0.4;
/// The same bound while engines are already reserved. An overloaded fleet holds
/// more slots for that reason alone, and moving the boundary then would make it
/// prefill shared prefixes again.
static constexpr double kMostHeldToStay = 1.5;
/// Seconds of traffic that must have been observed before engines are reserved.
/// Slot time is counted when responses end, so that it is underestimated in the
/// first second.
static constexpr double kLeastSeconds = 3;

/// Returns the share of a decaying sum that remains after \p age.
static double RemainingShare(duration age) {
  return std::exp(-std::max(0.0, ToSeconds(age)) / kMixSeconds);
}

void prompt_length_classifier::Decay(time_point now) {
  own_ = Own(now);
  if (first_at_ == time_point()) {
    first_at_ = now;
  }
  own_at_ = now;
}

prompt_mix prompt_length_classifier::Own(time_point now) const {
  if (first_at_ == time_point()) {
    return {};
  }
  const double share = RemainingShare(now - own_at_);
  return {.requests = own_.requests * share,
          .prompt_tokens = own_.prompt_tokens * share,
          .short_prefill = own_.short_prefill * share,
          .long_prefill = own_.long_prefill * share,
          .short_held = own_.short_held * share,
          .seconds = kMixSeconds * (1 - RemainingShare(now - first_at_))};
}

void prompt_length_classifier::CountPrompt(time_point now,
                                           double prompt_tokens) {
  Decay(now);
  own_.requests += 1;
  own_.prompt_tokens += prompt_tokens;
}

void prompt_length_classifier::CountRead(time_point now,
                                         bool is_long,
                                         double tokens) {
  Decay(now);
  (is_long ? own_.long_prefill : own_.short_prefill) += tokens;
}

void prompt_length_classifier::CountShortHeld(time_point now, duration held) {
  Decay(now);
  own_.short_held += ToSeconds(held);
}

void prompt_length_classifier::OnPeer(time_point now,
                                      const std::string& peer,
                                      const prompt_mix& told) {
  peers_[peer] = {.mix = told, .at = now};
  std::erase_if(peers_, [&](const auto& item) {
    return now - item.second.at > kPeerTime;
  });
  peers_sum_ = {};
  peers_keeping_ = 0;
  for (const auto& [name, item] : peers_) {
    Add(item.mix, peers_sum_);
    peers_keeping_ += item.mix.reserves_engines ? 1 : 0;
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

prompt_mix prompt_length_classifier::Sum(time_point now) const {
  prompt_mix sum = peers_sum_;
  Add(Own(now), sum);
  return sum;
}

bool prompt_length_classifier::IsLong(time_point now,
                                      double prompt_tokens) const {
  const prompt_mix sum = Sum(now);
  return prompt_tokens * sum.requests > sum.prompt_tokens;
}

double prompt_length_classifier::ShortShare(time_point now,
                                            const engine_slots& engines) const {
  if (engines.count == 0 || engines.slots < kLeastSlots * engines.count) {
    return 0;
  }
  const prompt_mix sum = Sum(now);
  const double read = sum.short_prefill + sum.long_prefill;
  if (sum.requests < kLeastRequests || read <= 0 || sum.seconds <= 0) {
    return 0;
  }
  const double part = sum.short_prefill / read;
  if (part < kLeastPart || part > 1 - kLeastPart ||
      std::min(part, 1 - part) * engines.count < kLeastEngines) {
    return 0;
  }
  const double daemons = static_cast<double>(peers_.size()) + 1;
  const double seconds = sum.seconds / daemons;
  const double held = sum.short_held / seconds;
  const bool are_kept = 2 * peers_keeping_ > peers_.size();
  const double most = are_kept ? kMostHeldToStay : kMostHeldToBegin;
  const bool is_known = are_kept || seconds >= kLeastSeconds;
  return is_known && held <= most * part * engines.slots ? part : 0;
}

}  // namespace cuminswitch
