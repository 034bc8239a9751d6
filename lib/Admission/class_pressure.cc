#include "cuminswitch/Admission/class_pressure.h"

#include <algorithm>
#include <cmath>

namespace cuminswitch {

/// Time constant of the mean wait, in seconds: a rotation of the heartbeats.
static constexpr double kMeanSeconds = 0.5;
/// Three rotations of the heartbeats of 72 daemons.
static constexpr duration kPeerLifetime = std::chrono::milliseconds(1600);
/// Classes with less waiting work, in seconds, and fewer recent requests are
/// not reported.
static constexpr double kMinReportedWork = 1e-3;

double class_pressure::Remaining(time_point now, time_point at) {
  return std::exp(-std::max(0.0, ToSeconds(now - at)) / kMeanSeconds);
}

void class_pressure::OnArrival(time_point now,
                               uint64_t target,
                               priority_class priority,
                               double wait_ratio) {
  own_class& item = own_[{.target = target, .priority = priority}];
  const double older = Remaining(now, item.at);
  item.ratios = item.ratios * older + wait_ratio;
  item.count = item.count * older + 1;
  item.at = now;
}

void class_pressure::AddWaiting(uint64_t target,
                                priority_class priority,
                                double work) {
  double& waiting = own_[{.target = target, .priority = priority}].waiting;
  waiting = std::max(0.0, waiting + work);
}

void class_pressure::OnPeer(time_point now,
                            const std::string& peer,
                            std::span<const target_pressure> pressures) {
  std::erase_if(peers_, [&](const auto& item) {
    return now - item.second.at > kPeerLifetime;
  });
  if (pressures.empty()) {
    peers_.erase(peer);
    return;
  }
  peers_[peer] = {.pressures = {pressures.begin(), pressures.end()}, .at = now};
}

template <class Visit>
void class_pressure::ForEach(time_point now,
                             uint64_t target,
                             const Visit& visit) const {
  for (const target_pressure& item : Report(now)) {
    if (item.target == target) {
      visit(item, duration(0));
    }
  }
  for (const auto& [peer, report] : peers_) {
    const duration age = now - report.at;
    if (age > kPeerLifetime) {
      continue;
    }
    for (const target_pressure& item : report.pressures) {
      if (item.target == target) {
        visit(item, age);
      }
    }
  }
}

double class_pressure::ShareAhead(time_point now,
                                  uint64_t target,
                                  priority_class priority) const {
  double ahead = 0;
  double total = 0;
  ForEach(now, target, [&](const target_pressure& item, duration /*age*/) {
    ahead += item.priority <= priority ? item.weight : 0;
    total += item.weight;
  });
  return total <= 0 ? 1 : ahead / total;
}

class_pressure::estimate class_pressure::Find(time_point now,
                                              uint64_t target,
                                              priority_class priority) const {
  double ratios = 0;
  double work = 0;
  estimate result;
  ForEach(now, target, [&](const target_pressure& item, duration age) {
    if (item.priority == priority) {
      ratios += item.wait_ratio * item.weight;
      work += item.weight;
      result.peer_data_age = std::max(result.peer_data_age, age);
    }
  });
  result.wait_ratio = work <= 0 ? 0 : ratios / work;
  return result;
}

class_pressure::estimate class_pressure::FindMoreUrgent(
    time_point now,
    uint64_t target,
    priority_class priority) const {
  estimate largest;
  for (uint8_t i = 0; i < static_cast<uint8_t>(priority); ++i) {
    const estimate item = Find(now, target, static_cast<priority_class>(i));
    if (item.wait_ratio > largest.wait_ratio) {
      largest = item;
    }
  }
  return largest;
}

std::vector<target_pressure> class_pressure::Report(time_point now) const {
  std::vector<target_pressure> report;
  for (const auto& [key, item] : own_) {
    if (item.waiting < kMinReportedWork) {
      continue;
    }
    // Without new requests, those that wait are worked off.
    const double left = Remaining(now, item.at);
    report.push_back(
        {.target = key.target,
         .priority = key.priority,
         .wait_ratio = item.count <= 0 ? 0 : left * item.ratios / item.count,
         .weight = item.waiting});
  }
  return report;
}

}  // namespace cuminswitch
