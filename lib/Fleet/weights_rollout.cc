#include "cuminswitch/Fleet/weights_rollout.h"

#include <algorithm>

#include "cuminswitch/Fleet/upstream_directory.h"

namespace cuminswitch {

/// A change of weights takes about a third of a second; an engine that has not
/// reported it after this long is queried again.
static constexpr duration kChangeTimeout = std::chrono::milliseconds(900);
static constexpr duration kBusyRetryDelay = std::chrono::milliseconds(150);
/// Delay after a command without response, which may still be in transit.
static constexpr duration kUnknownResultDelay = std::chrono::milliseconds(500);
static constexpr duration kRejectedRetryDelay = std::chrono::seconds(2);
/// Time within which an engine responds to a command unless the command or the
/// response is lost or late.
static constexpr duration kResponseTime = std::chrono::milliseconds(200);

std::string_view ToString(command_result value) {
  switch (value) {
    case command_result::kAccepted:
      return "accepted";
    case command_result::kAlreadyApplied:
      return "holds";
    case command_result::kConflict:
      return "conflict";
    case command_result::kRejected:
      return "rejected";
    case command_result::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::optional<weights_rollout::outdated> weights_rollout::FindOutdated(
    const upstream_ref& entry) const {
  for (const weights_version& has : entry->weights) {
    for (const weights_version& wanted : wanted_) {
      if (wanted.model == has.model && wanted.version > has.version) {
        return outdated{
            .entry = entry, .wanted = wanted, .version = has.version};
      }
    }
  }
  return std::nullopt;
}

std::vector<weights_rollout::outdated> weights_rollout::ListOutdated(
    const upstream_directory& upstreams) const {
  std::vector<outdated> list;
  for (const upstream_ref& entry : upstreams.List()) {
    const std::optional<outdated> item = FindOutdated(entry);
    if (item && !entry->is_draining) {
      list.push_back(*item);
    }
  }
  std::stable_sort(list.begin(), list.end(),
                   [](const outdated& a, const outdated& b) {
                     return a.version < b.version;
                   });
  return list;
}

void weights_rollout::DropFinished(const upstream_directory& upstreams) {
  std::erase_if(engines_, [&](const auto& item) {
    const upstream_ref entry = upstreams.Find(item.first);
    // A command to an earlier run has no effect: the engine restarted with its
    // previous weights, and counts accepted commands from 0.
    return entry == nullptr || entry->started != item.second.started ||
           !FindOutdated(entry);
  });
}

weights_rollout::engine& weights_rollout::Track(const outdated& candidate) {
  const upstream_entry& entry = *candidate.entry;
  engine& item = engines_[entry.id];
  item.started = entry.started;
  item.service = entry.service;
  item.address = entry.address;
  item.wanted = candidate.wanted;
  return item;
}

bool weights_rollout::IsOverdue(time_point now, const engine& item) const {
  return (item.at == stage::kChanging && now - item.since > kChangeTimeout) ||
         (pace_ && item.at == stage::kCommanded &&
          now - item.since > kResponseTime);
}

rollout_step weights_rollout::Query(time_point now,
                                    const std::string& id,
                                    engine& item) {
  item.at = stage::kQuerying;
  item.since = now;
  return {.upstream = id, .address = item.address, .command = std::nullopt};
}

void weights_rollout::Clear() {
  if (pace_) {
    pace_->Clear();
  }
  engines_.clear();
  settled_version_.reset();
}

std::vector<rollout_step> weights_rollout::OnTick(
    time_point now,
    std::span<const weights_version> wanted,
    const upstream_directory& upstreams) {
  const bool is_same =
      std::equal(wanted.begin(), wanted.end(), wanted_.begin(), wanted_.end());
  if (is_same && settled_version_ == upstreams.version()) {
    return {};
  }
  wanted_.assign(wanted.begin(), wanted.end());
  if (pace_) {
    UpdatePace(now, upstreams);
  }
  DropFinished(upstreams);
  const std::vector<outdated> candidates = ListOutdated(upstreams);
  settled_version_.reset();
  if (candidates.empty() && engines_.empty()) {
    settled_version_ = upstreams.version();
    return {};
  }
  if (pace_) {
    return TickPaced(now, candidates, upstreams);
  }
  std::map<std::string, size_t> in_progress;
  for (const auto& [id, item] : engines_) {
    in_progress[item.service] += item.at == stage::kIdle ? 0 : 1;
  }
  std::vector<rollout_step> steps;
  for (const outdated& candidate : candidates) {
    const upstream_entry& entry = *candidate.entry;
    engine& item = Track(candidate);
    const bool is_new =
        item.at == stage::kIdle && now >= item.next_step &&
        in_progress[entry.service] <
            std::max(kMinConcurrentChanges, upstreams.CountOf(entry.service) /
                                                kConcurrentChangesDivisor);
    if (!is_new && !IsOverdue(now, item)) {
      continue;
    }
    in_progress[entry.service] += is_new ? 1 : 0;
    steps.push_back(Query(now, entry.id, item));
  }
  return steps;
}

std::optional<rollout_step> weights_rollout::OnReport(
    time_point now,
    const std::string& upstream,
    const std::optional<engine_report>& report) {
  const auto found = engines_.find(upstream);
  if (found == engines_.end() || found->second.at != stage::kQuerying) {
    return std::nullopt;
  }
  engine& item = found->second;
  if (report && report->is_busy) {
    // A command is in progress: the engine completes its running requests,
    // which takes seconds under load, and rejects all others meanwhile.
    item.at = stage::kChanging;
    item.is_unconfirmed = false;
    item.has_accepted = true;
    item.since = now - kChangeTimeout + kBusyRetryDelay;
    return std::nullopt;
  }
  if (!report) {
    item.at = stage::kIdle;
    item.is_unconfirmed = !item.has_accepted;
    item.next_step = now + kBusyRetryDelay;
    return std::nullopt;
  }
  item.has_accepted = false;
  const bool has_wanted =
      std::any_of(report->weights.begin(), report->weights.end(),
                  [&](const weights_version& has) {
                    return has.model == item.wanted.model &&
                           has.version >= item.wanted.version;
                  });
  if (has_wanted) {
    // The engine's store entry will show the new weights soon.
    item.at = stage::kIdle;
    item.next_step = now + kChangeTimeout;
    return std::nullopt;
  }
  item.at = stage::kCommanded;
  item.has_accepted = false;
  item.since = now;
  return rollout_step{.upstream = upstream,
                      .address = item.address,
                      .command = rollout_step::weights_command{
                          .weights = item.wanted,
                          .accepted_orders = report->accepted_orders,
                          .choice = item.choice}};
}

/// Time until the next query to an engine after a command that it did not
/// accept.
static duration RetryDelayAfter(command_result result) {
  switch (result) {
    case command_result::kAccepted:
    case command_result::kAlreadyApplied:
      return kChangeTimeout;
    case command_result::kConflict:
      return kBusyRetryDelay;
    case command_result::kUnknown:
      return kUnknownResultDelay;
    case command_result::kRejected:
      return kRejectedRetryDelay;
  }
  return kRejectedRetryDelay;
}

void weights_rollout::OnCommandResult(time_point now,
                                      const std::string& upstream,
                                      command_result result) {
  const auto found = engines_.find(upstream);
  if (found == engines_.end() || found->second.at != stage::kCommanded) {
    return;
  }
  engine& item = found->second;
  item.since = now;
  item.is_unconfirmed = result != command_result::kAccepted &&
                        result != command_result::kAlreadyApplied;
  item.has_accepted = result == command_result::kAccepted;
  if (item.has_accepted) {
    item.at = stage::kChanging;
    return;
  }
  item.at = stage::kIdle;
  item.next_step = now + RetryDelayAfter(result);
}

std::vector<std::string> weights_rollout::ListChanging() const {
  std::vector<std::string> list;
  for (const auto& [id, item] : engines_) {
    if (IsChanging(item)) {
      list.push_back(id);
    }
  }
  return list;
}

std::vector<std::string> weights_rollout::ListUnconfirmed() const {
  std::vector<std::string> list;
  for (const auto& [id, item] : engines_) {
    if (item.is_unconfirmed) {
      list.push_back(id);
    }
  }
  return list;
}

}  // namespace cuminswitch
