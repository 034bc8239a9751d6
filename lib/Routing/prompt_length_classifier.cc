#include "cuminswitch/Routing/prompt_length_classifier.h"

#include <algorithm>
#include <cmath>

namespace cuminswitch {

/// Traffic counts for about so long: the mix of kinds changes over the hours of
/// a day, and a moved boundary makes engines read prefixes again.
static constexpr double kMixSeconds = 10;
/// What a peer told counts until it has had several turns to tell again.
static constexpr duration kPeerTime = std::chrono::seconds(10);
/// Requests that must be known, so that one large prompt does not decide.
static constexpr double kLeastRequests = 100;
/// With less for one kind, its engines would be too few to lose one.
static constexpr double kLeastPart = 0.1;
/// Engines that a kind must have, so that one that is gone leaves it most of
/// its own.
static constexpr double kLeastEngines = 4;
/// Requests that one engine runs at once. Engines of few slots are full by
/// chance long before all of their kind are.
static constexpr double kLeastSlots = 32;
/// Slots that answers to short prompts may hold for engines to be kept for
/// them, as a share of the slots of these engines.
static constexpr double kMostHeldToBegin = 0.4;
/// And for engines to stay kept: a fleet that falls behind holds more slots by
/// that alone, and to move the boundary then makes it read prefixes again.
static constexpr double kMostHeldToStay = 1.5;
/// Traffic that must be seen before engines are kept. Slots are counted when
/// answers end, so the first second's share is too low.
static constexpr double kLeastSeconds = 3;

/// What is left of a sum after \p age.
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
