#include "cuminswitch/Routing/replica_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {

/// Number of versions whose publication time is stored; older ones are not
/// served any more.
static constexpr size_t kMaxVersionHistory = 16;
/// Time constant of the moving average of backlogs, in seconds.
static constexpr double kMeanBacklogSeconds = 5;
/// Time after which a peer's backlog report expires.
static constexpr duration kPeerBacklogLifetime = std::chrono::seconds(1);

static void InsertSorted(std::vector<replica_index>& list,
                         replica_index index) {
  const auto position = std::lower_bound(list.begin(), list.end(), index);
  if (position == list.end() || *position != index) {
    list.insert(position, index);
  }
}

static void EraseSorted(std::vector<replica_index>& list, replica_index index) {
  const auto position = std::lower_bound(list.begin(), list.end(), index);
  if (position != list.end() && *position == index) {
    list.erase(position);
  }
}

void replica_table::Reconfigure(time_point now, const configuration& config) {
  SetModels(now, config.models);
  std::vector<replica_index> listed;
  for (const upstream_spec& spec : config.upstreams) {
    SetUpstream(now, spec);
    InsertSorted(listed, *Find(spec.name));
  }
  for (const replica_index index : std::vector<replica_index>(configured_)) {
    if (!std::binary_search(listed.begin(), listed.end(), index)) {
      RemoveUpstream(replicas_[index].spec.name);
    }
  }
}

void replica_table::SetModels(time_point now,
                              std::span<const model_spec> models) {
  for (const model_spec& model : models) {
    target_replicas& target = by_target_[model.name];
    target.estimate.SetCacheTokens(model.cache_tokens);
    target.reserves_slots = model.max_reservation > duration(0);
    // Without an engine the version is unknown, which supersedes none.
    if (model.version.empty()) {
      continue;
    }
    target.version = model.version;
    if (target.history.empty() ||
        target.history.back().version != model.version) {
      // The bound on superseded weights counts from the publication, which may
      // have been long before it arrived here.
      const time_point since =
          target.history.empty()
              ? options_.first_version_since
              : std::min(now, model.published_after.value_or(now));
      const bool is_witnessed = !target.history.empty();
      // A version that is published again is not superseded any more.
      std::erase_if(target.history, [&](const version_start& item) {
        return item.version == model.version;
      });
      target.history.push_back({.version = model.version,
                                .since = since,
                                .is_witnessed = is_witnessed});
    }
    if (target.history.size() > kMaxVersionHistory) {
      target.history.erase(target.history.begin());
    }
  }
  for (auto& item : by_target_) {
    target_replicas& target = item.second;
    const bool is_listed = std::any_of(
        models.begin(), models.end(),
        [&](const model_spec& model) { return model.name == item.first; });
    if (!is_listed && !target.history.empty()) {
      target.version.clear();
      target.history.clear();
      target.estimate = {};
    }
  }
}

std::vector<weights_publication> replica_table::ListPublications(
    time_point now) const {
  std::vector<weights_publication> list;
  for (const auto& [name, target] : by_target_) {
    for (size_t i = 1; i < target.history.size(); ++i) {
      const version_start& start = target.history[i];
      if (start.is_witnessed && now - start.since < options_.old_weights_time) {
        list.push_back({.target = name,
                        .version = start.version,
                        .superseded = target.history[i - 1].version,
                        .since = start.since});
      }
    }
  }
  return list;
}

std::vector<weights_publication> replica_table::LearnPublications(
    std::span<const weights_publication> learned) {
  std::vector<weights_publication> accepted;
  // Each one is applied after the next one of its target, which names its
  // version as superseded. The loop ends even if they contradict each other,
  // since no history names a version twice.
  for (size_t before = SIZE_MAX; before != accepted.size();) {
    before = accepted.size();
    for (const weights_publication& item : learned) {
      if (LearnPublication(item)) {
        accepted.push_back(item);
      }
    }
  }
  return accepted;
}

bool replica_table::LearnPublication(const weights_publication& learned) {
  const auto found = by_target_.find(learned.target);
  if (found == by_target_.end()) {
    return false;
  }
  std::vector<version_start>& history = found->second.history;
  const auto known =
      std::ranges::find(history, learned.version, &version_start::version);
  if (known == history.end() || known->is_witnessed) {
    return false;
  }
  if (known != history.begin()) {
    known->since = std::max(known->since, learned.since);
    return false;
  }
  if (learned.superseded.empty() || history.size() >= kMaxVersionHistory ||
      std::ranges::find(history, learned.superseded, &version_start::version) !=
          history.end()) {
    return false;
  }
  known->since = learned.since;
  history.insert(history.begin(), {.version = learned.superseded,
                                   .since = options_.first_version_since});
  return true;
}

bool replica_table::LacksPublications() const {
  const auto knows = [](const target_replicas& target,
                        const std::string& version) {
    return target.history.empty() ||
           std::ranges::find(target.history, version,
                             &version_start::version) != target.history.end();
  };
  for (const auto& [name, target] : by_target_) {
    for (const replica_index index : target.indices) {
      for (const loaded_model& model : replicas_[index].models) {
        if (model.name == name && !knows(target, model.version)) {
          return true;
        }
      }
    }
  }
  return false;
}

bool replica_table::IsConfigured(replica_index index) const {
  return std::binary_search(configured_.begin(), configured_.end(), index);
}

void replica_table::SetUpstream(time_point now, const upstream_spec& spec) {
  const uint64_t name_hash = Hash64(spec.name);
  const auto [found, is_new] = by_hash_.try_emplace(
      name_hash, static_cast<replica_index>(replicas_.size()));
  const replica_index index = found->second;
  if (is_new) {
    replicas_.push_back(
        {.spec = spec, .name_hash = name_hash, .slow_start_since = now});
    replicas_.back().limit = InitialLimit(spec);
  }
  replica& item = replicas_[index];
  item.limit = std::min<double>(item.limit, spec.max_in_flight);
  const bool has_joined = IsConfigured(index);
  if (has_joined && item.spec.serves != spec.serves) {
    LeaveTargets(index);
  }
  const bool must_join = !has_joined || item.spec.serves != spec.serves;
  item.spec = spec;
  item.software = spec.serves.empty()
                      ? kAnySoftware
                      : SoftwareTag(spec.serves.front(), spec.software_version);
  if (must_join) {
    JoinTargets(index);
  }
  UpdateRejectionLimit(item);
  InsertSorted(configured_, index);
}

void replica_table::RemoveUpstream(std::string_view name) {
  const std::optional<replica_index> index = Find(name);
  if (index && IsConfigured(*index)) {
    LeaveTargets(*index);
    EraseSorted(configured_, *index);
  }
}

void replica_table::JoinTargets(replica_index index) {
  replica& item = replicas_[index];
  for (const std::string& name : item.spec.serves) {
    target_replicas& target = by_target_[name];
    InsertSorted(target.indices, index);
    target.ranked.insert(
        std::lower_bound(target.ranked.begin(), target.ranked.end(), index,
                         [this](replica_index a, replica_index b) {
                           return replicas_[a].name_hash <
                                  replicas_[b].name_hash;
                         }),
        index);
    if (!item.is_rate_measured) {
      item.prefill_rate = target.estimate.prefill_rate();
    }
  }
}

void replica_table::LeaveTargets(replica_index index) {
  for (const std::string& name : replicas_[index].spec.serves) {
    target_replicas& target = by_target_.find(name)->second;
    EraseSorted(target.indices, index);
    std::erase(target.ranked, index);
  }
}

double replica_table::RankOf(replica_index index) const {
  const replica& item = replicas_[index];
  if (item.spec.serves.empty()) {
    return 0;
  }
  // The last target that an engine serves is the model.
  const auto found = by_target_.find(item.spec.serves.back());
  if (found == by_target_.end() || found->second.ranked.empty()) {
    return 0;
  }
  const std::vector<replica_index>& ranked = found->second.ranked;
  const auto position =
      std::lower_bound(ranked.begin(), ranked.end(), index,
                       [this](replica_index a, replica_index b) {
                         return replicas_[a].name_hash < replicas_[b].name_hash;
                       });
  return (static_cast<double>(position - ranked.begin()) + 0.5) /
         static_cast<double>(ranked.size());
}

void replica_table::OnReport(time_point now, const upstream_report& report) {
  const std::optional<replica_index> index = Find(report.upstream);
  if (!index) {
    return;
  }
  replica& item = replicas_[*index];
  item.reachable = report.reachable;
  if (!report.reachable) {
    return;
  }
  item.leaving = report.leaving;
  // The report does not yet contain the weights that responses have shown.
  if (item.reported_incarnation == report.incarnation &&
      item.reported_incarnation != 0) {
    return;
  }
  item.reported_incarnation = 0;
  if (item.reported && item.incarnation != report.incarnation) {
    item.slow_start_since = now;
    item.limit = InitialLimit(item.spec);
  }
  if (item.reported && item.started != report.started) {
    ResetProcessState(item);
  }
  item.reported = true;
  item.incarnation = report.incarnation;
  item.started = report.started;
  item.models = report.models;
  for (loaded_model& model : item.models) {
    model.tag = TagOf(model.version);
  }
  RecordLoad(now - report.age, item, report.running, report.waiting);
}

weights_tag replica_table::TagOf(std::string_view version) {
  // The lowest bit is set, so that the tag never equals `kNoWeights`.
  return static_cast<weights_tag>(Hash64(version)) | 1U;
}

void replica_table::ResetProcessState(replica& item) {
  // The failures of the previous process say nothing about a new one, and a new
  // process runs no requests yet. The speed of its machine is unchanged, so the
  // prefill rate stays.
  item.others_in_flight = 0;
  item.others_waiting = 0;
  item.failures_in_row = 0;
  item.ejected_until = {};
  item.backoff_until = {};
  item.announced_leaving = false;
  item.responses.Reset();
}

void replica_table::RecordLoad(time_point at,
                               replica& item,
                               uint32_t running,
                               uint32_t waiting) {
  item.reported_at = at;
  const uint32_t total = running + waiting;
  item.others_in_flight = total > item.in_flight ? total - item.in_flight : 0;
  item.others_waiting = waiting > item.waiting ? waiting - item.waiting : 0;
}

void replica_table::OnDispatch(replica_index index, double expected_tokens) {
  replica& item = replicas_[index];
  ++item.in_flight;
  ++item.waiting;
  item.pending_tokens += expected_tokens;
  item.permits -= item.permits > 0 ? 1 : 0;
  pending_.insert(index);
}

void replica_table::OnFirstByte(replica_index index, double expected_tokens) {
  replica& item = replicas_[index];
  --item.waiting;
  item.pending_tokens = std::max(0.0, item.pending_tokens - expected_tokens);
}

void replica_table::OnLoad(time_point now, const upstream_load& load) {
  if (const std::optional<replica_index> index = Find(load.upstream)) {
    RecordLoad(now, replicas_[*index], load.running, load.waiting);
    replicas_[*index].stated_slots = load.slots;
  }
}

/// Returns the moving average of the tokens that peers report for \p item.
static double MeanOthersPendingTokens(time_point now, const replica& item) {
  const double age = std::max(0.0, ToSeconds(now - item.others_averaged_at));
  const double older = std::exp(-age / kMeanBacklogSeconds);
  return older * item.mean_others_pending_tokens +
         (1 - older) * item.others_pending_tokens;
}

double replica_table::MeanPeerBacklogSeconds(time_point now,
                                             replica_index index) const {
  const replica& item = replicas_[index];
  return MeanOthersPendingTokens(now, item) / item.prefill_rate;
}

void replica_table::AddPeerBacklogs(time_point now,
                                    const peer_backlog_report& report,
                                    double sign) {
  const double at = ToSeconds(report.at.time_since_epoch());
  for (const upstream_backlog& backlog : report.backlogs) {
    const auto found = by_hash_.find(backlog.upstream);
    if (found == by_hash_.end()) {
      continue;
    }
    replica& item = replicas_[found->second];
    item.mean_others_pending_tokens = MeanOthersPendingTokens(now, item);
    item.others_averaged_at = now;
    item.others_pending_tokens += sign * backlog.tokens;
    item.others_token_seconds += sign * backlog.tokens * at;
    // An upstream may have become known only after a report.
    if (item.others_pending_tokens <= 0) {
      item.others_pending_tokens = 0;
      item.others_token_seconds = 0;
    }
  }
}

void replica_table::OnPeerPlacements(time_point now,
                                     const peer_placements& report) {
  peer_backlog_report& known = peer_backlogs_[report.peer];
  AddPeerBacklogs(now, known, -1);
  known = {.at = now, .backlogs = report.backlogs};
  AddPeerBacklogs(now, known, 1);
}

void replica_table::ExpirePeerBacklogs(time_point now) {
  std::erase_if(peer_backlogs_, [&](const auto& item) {
    const bool is_old = now - item.second.at > kPeerBacklogLifetime;
    if (is_old) {
      AddPeerBacklogs(now, item.second, -1);
    }
    return is_old;
  });
}

duration replica_table::OldestPeerBacklog(time_point now) const {
  duration oldest{0};
  for (const auto& [peer, report] : peer_backlogs_) {
    oldest = std::max(oldest, now - report.at);
  }
  return oldest;
}

std::optional<replica_index> replica_table::Find(std::string_view name) const {
  return FindByHash(Hash64(name));
}

std::optional<replica_index> replica_table::FindByHash(uint64_t hash) const {
  const auto found = by_hash_.find(hash);
  if (found == by_hash_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<upstream_backlog> replica_table::ListBacklogs() {
  std::vector<upstream_backlog> list;
  std::erase_if(pending_, [&](replica_index index) {
    const replica& item = replicas_[index];
    if (item.pending_tokens < 1) {
      return item.waiting == 0;
    }
    list.push_back({.upstream = item.name_hash,
                    .tokens = static_cast<uint32_t>(item.pending_tokens)});
    return false;
  });
  return list;
}

void replica_table::SetChanging(const upstream_changing& event) {
  if (const std::optional<replica_index> index = Find(event.upstream)) {
    replicas_[*index].changing = event.is_changing;
    replicas_[*index].may_change = event.may_change;
  }
}

void replica_table::SetLimited(time_point now,
                               replica_index index,
                               duration wait) {
  replicas_[index].limited_until = now + wait;
  replicas_[index].send_interval = wait;
}

void replica_table::ClearLimited(replica_index index) {
  replicas_[index].limited_until = {};
  replicas_[index].send_interval = duration(0);
}

void replica_table::OnEnd(replica_index index) {
  replica& item = replicas_[index];
  assert(item.in_flight > 0 && "an attempt ended twice");
  --item.in_flight;
}

std::optional<replica_index> replica_table::PreferredReplica(
    std::string_view target,
    uint64_t prefix) const {
  const auto found = by_target_.find(target);
  if (found == by_target_.end()) {
    return std::nullopt;
  }
  std::optional<replica_index> preferred;
  uint64_t best = 0;
  for (const replica_index index : found->second.indices) {
    const uint64_t weight =
        RendezvousWeight(prefix, replicas_[index].name_hash);
    if (!preferred || weight > best) {
      preferred = index;
      best = weight;
    }
  }
  return preferred;
}

engine_slots replica_table::CountSlots(std::string_view target) const {
  const auto found = by_target_.find(target);
  engine_slots engines;
  if (found != by_target_.end()) {
    for (const replica_index index : found->second.indices) {
      ++engines.count;
      engines.slots += replicas_[index].spec.max_in_flight;
    }
  }
  return engines;
}

void replica_table::ClearQueued() {
  for (const replica_index index : queued_) {
    replicas_[index].queued_locally = 0;
    replicas_[index].first_queued = {};
  }
  queued_.clear();
}

void replica_table::CountQueued(replica_index index, time_point arrived) {
  replica& item = replicas_[index];
  item.first_queued =
      item.queued_locally == 0 ? arrived : std::min(item.first_queued, arrived);
  ++item.queued_locally;
  queued_.push_back(index);
}

}  // namespace cuminswitch
