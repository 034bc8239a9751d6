#include "soak/part_crash_check.h"

#include <algorithm>

namespace cuminswitch::soak {

/// Crashes under one part, and arrivals after the bound, that are allowed.
static constexpr size_t kCrashesAllowed = 5;
static constexpr size_t kLateArrivalsAllowed = 3;
/// Time from the fifth crash until no daemon may send requests with the part.
static constexpr std::chrono::seconds kPropagationTime{4};
/// The same until sound requests must be served again.
static constexpr std::chrono::seconds kRecoveryTime{8};
/// Time from the end of a phase until its last upstreams have restarted and
/// daemons use them again.
static constexpr std::chrono::seconds kRestartTime{6};
/// With fewer requests of a kind, they are not compared.
static constexpr size_t kMinCompared = 20;

void part_crash_check::OnPhase(const std::string& part, steady_time at) {
  if (!phases_.empty()) {
    phases_.back().end = std::min(phases_.back().end, at);
  }
  if (!part.empty()) {
    phases_.push_back({.part = part, .begin = at});
  }
}

void part_crash_check::OnArrival(const std::string& part,
                                 bool is_daemon_undisturbed,
                                 steady_time at) {
  parts_[part].arrivals.push_back(
      {.at = at, .is_daemon_undisturbed = is_daemon_undisturbed});
}

void part_crash_check::OnCrash(const std::string& part, steady_time at) {
  parts_[part].crashes.push_back(at);
}

void part_crash_check::OnResponse(const std::string& route,
                                  steady_time sent_at,
                                  bool is_served) {
  responses_.push_back(
      {.route = route, .sent_at = sent_at, .is_served = is_served});
}

std::optional<steady_time> part_crash_check::LastAllowedCrash(
    const std::string& part) const {
  const auto found = parts_.find(part);
  if (found == parts_.end() || found->second.crashes.empty()) {
    return std::nullopt;
  }
  std::vector<steady_time> crashes = found->second.crashes;
  std::sort(crashes.begin(), crashes.end());
  return crashes[std::min(crashes.size(), kCrashesAllowed) - 1];
}

size_t part_crash_check::CountLate(const std::string& part) const {
  const part_history& history = parts_.at(part);
  if (history.crashes.size() < kCrashesAllowed) {
    return 0;
  }
  const steady_time bound = *LastAllowedCrash(part) + kPropagationTime;
  return static_cast<size_t>(
      std::count_if(history.arrivals.begin(), history.arrivals.end(),
                    [bound](const arrival& item) {
                      return item.is_daemon_undisturbed && item.at > bound;
                    }));
}

std::vector<std::string> part_crash_check::ListLateArrivals() const {
  std::vector<std::string> violations;
  for (const auto& [part, history] : parts_) {
    if (const size_t late = CountLate(part); late > kLateArrivalsAllowed) {
      violations.push_back(
          "requests with part " + part + " reached upstreams " +
          std::to_string(late) + " times later than " +
          std::to_string(kPropagationTime.count()) +
          " s after the fifth crash; " +
          std::to_string(history.crashes.size()) + " upstreams crashed in all");
    }
  }
  return violations;
}

std::map<std::string, part_crash_check::tally> part_crash_check::Count(
    steady_time begin,
    steady_time end) const {
  std::map<std::string, tally> tallies;
  for (const response& item : responses_) {
    if (item.sent_at >= begin && item.sent_at < end) {
      tally& route = tallies[item.route];
      ++route.sent;
      route.served += item.is_served ? 1 : 0;
    }
  }
  return tallies;
}

std::map<std::string, part_crash_check::tally> part_crash_check::CountDuring(
    const phase& item) const {
  const auto crash = LastAllowedCrash(item.part);
  if (!crash) {
    return {};
  }
  return Count(std::max(item.begin, *crash + kRecoveryTime), item.end);
}

std::map<std::string, part_crash_check::tally> part_crash_check::CountOutside()
    const {
  std::map<std::string, tally> tallies;
  steady_time begin{};
  const auto add_until = [&](steady_time end) {
    for (const auto& [route, counted] : Count(begin, end)) {
      tallies[route].sent += counted.sent;
      tallies[route].served += counted.served;
    }
  };
  for (const phase& item : phases_) {
    add_until(item.begin);
    begin =
        std::min(item.end, steady_time::max() - kRestartTime) + kRestartTime;
  }
  add_until(steady_time::max());
  return tallies;
}

std::vector<std::string> part_crash_check::ListLosses() const {
  std::vector<std::string> violations;
  const std::map<std::string, tally> outside = CountOutside();
  for (const phase& item : phases_) {
    for (const auto& [route, during] : CountDuring(item)) {
      const auto found = outside.find(route);
      if (found == outside.end() || found->second.sent < kMinCompared ||
          during.sent < kMinCompared) {
        continue;
      }
      const tally& usual = found->second;
      // Less than half as often: 2 * during / sent < usual / sent.
      if (2 * during.served * usual.sent < usual.served * during.sent) {
        violations.push_back(
            "beside requests with part " + item.part + " " +
            std::to_string(during.served) + " of " +
            std::to_string(during.sent) + " sound requests on " + route +
            " were served, without them " + std::to_string(usual.served) +
            " of " + std::to_string(usual.sent));
      }
    }
  }
  return violations;
}

size_t part_crash_check::crashes() const {
  size_t total = 0;
  for (const auto& [part, history] : parts_) {
    total += history.crashes.size();
  }
  return total;
}

size_t part_crash_check::late() const {
  size_t total = 0;
  for (const auto& [part, history] : parts_) {
    total += CountLate(part);
  }
  return total;
}

size_t part_crash_check::compared() const {
  size_t total = 0;
  for (const phase& item : phases_) {
    for (const auto& [route, during] : CountDuring(item)) {
      total += during.sent;
    }
  }
  return total;
}

}  // namespace cuminswitch::soak
