// Roll-out of weights at the pace that scarce capacity allows.
#include <algorithm>

#include "cuminswitch/Fleet/upstream_directory.h"
#include "cuminswitch/Fleet/weights_rollout.h"

namespace cuminswitch {

/// An engine that has neither accepted a command nor reported a change within
/// this long may have received nothing.
static constexpr duration kConfirmationTime = std::chrono::milliseconds(300);

weights_rollout::weights_rollout(
    const std::optional<rollout_pace::options>& pace) {
  if (pace) {
    pace_.emplace(*pace);
  }
}

void weights_rollout::OnPublished(time_point at,
                                  std::span<const weights_version> wanted) {
  if (pace_) {
    pace_->OnPublished(at, wanted);
  }
}

std::optional<change_reason> weights_rollout::ChangingFor(time_point now,
                                                          const engine& item) {
  if (item.at == stage::kIdle || !item.choice ||
      (!item.has_accepted && now - item.began > kConfirmationTime)) {
    return std::nullopt;
  }
  return item.choice->reason;
}

void weights_rollout::UpdatePace(time_point now,
                                 const upstream_directory& upstreams) {
  pace_->OnUpstreams(now, upstreams);
  for (const auto& [id, item] : engines_) {
    const upstream_ref entry = upstreams.Find(id);
    if (item.has_accepted && item.choice && entry != nullptr &&
        entry->started == item.started && !FindOutdated(entry)) {
      pace_->OnChanged(now - item.began);
    }
  }
}

std::vector<rollout_step> weights_rollout::TickPaced(
    time_point now,
    std::span<const outdated> candidates,
    const upstream_directory& upstreams) {
  std::map<std::string_view, std::vector<outdated>> by_service;
  for (const outdated& candidate : candidates) {
    by_service[candidate.entry->service].push_back(candidate);
  }
  std::map<std::string_view, std::vector<upstream_ref>> engines;
  const std::vector<upstream_ref> all = upstreams.List();
  for (const upstream_ref& entry : all) {
    engines[entry->service].push_back(entry);
  }
  std::vector<rollout_step> steps;
  for (const auto& [service, list] : by_service) {
    ChoosePaced(now, list, engines[service], steps);
  }
  return steps;
}

void weights_rollout::ChoosePaced(time_point now,
                                  std::span<const outdated> candidates,
                                  std::span<const upstream_ref> engines,
                                  std::vector<rollout_step>& steps) {
  std::vector<rollout_candidate> list;
  for (const outdated& candidate : candidates) {
    engine& item = Track(candidate);
    list.push_back(
        {.entry = candidate.entry,
         .model = candidate.wanted.model,
         .version = candidate.version,
         .is_ready = item.at == stage::kIdle && now >= item.next_step,
         .changing = ChangingFor(now, item)});
    if (IsOverdue(now, item)) {
      steps.push_back(Query(now, candidate.entry->id, item));
    }
  }
  const rollout_pace::service_state service{
      .engines = engines,
      .limit = std::max(kMinConcurrentChanges,
                        engines.size() / kConcurrentChangesDivisor)};
  for (const rollout_choice& choice : pace_->Choose(now, service, list)) {
    const std::string& id = list[choice.index].entry->id;
    engine& item = engines_[id];
    item.choice = choice;
    item.began = now;
    item.has_accepted = false;
    steps.push_back(Query(now, id, item));
  }
}

}  // namespace cuminswitch
