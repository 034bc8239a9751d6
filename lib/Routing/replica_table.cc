#include "cuminswitch/Routing/replica_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {

/// A replica in a new incarnation starts at this share of its limit and gets
/// the whole of it after the ramp.
static constexpr double kSlowStartShare = 0.25;
static constexpr double kSlowStartSeconds = 3;
static constexpr duration kFirstEjection = std::chrono::milliseconds(500);
static constexpr uint32_t kMaxEjectionDoublings = 4;
static constexpr double kBusyDecrease = 0.7;
/// How long a replica that refused gets nothing. One that changes its weights
/// refuses for a third of a second and more, and looks idle meanwhile.
static constexpr duration kBusyPause = std::chrono::milliseconds(50);
/// A first byte may come this much later than computing alone would take; past
/// it the replica's own queue is too long, and requests wait better here,
/// where they can be ordered, refused in time, or sent elsewhere.
static constexpr double kLateFactor = 1.5;
static constexpr double kLateSeconds = 0.3;
/// A decrease takes the limit down in proportion to the lateness, within these.
static constexpr double kLargestDecrease = 0.5;
static constexpr double kSmallestDecrease = 0.9;
/// The effect of a decrease shows only after the queue's length, but a long
/// queue must not make the adaptation slow.
static constexpr duration kLeastDecreasePause = std::chrono::milliseconds(250);
static constexpr duration kLongestDecreasePause = std::chrono::seconds(1);
/// A daemon starts with this multiple of its even part of a replica's limit:
/// one workspace's traffic meets at a few daemons, so parts are not even.
static constexpr double kFirstLimitFactor = 4;
/// How long a replica that fails far more often than the others gets nothing.
static constexpr duration kOutlierEjection = std::chrono::seconds(3);
/// A queue is estimated from what this daemon and its peers told; under load
/// it was up to twice as long.
static constexpr double kQueueDoubt = 2;
/// An answer of old weights loses value; a wait of this many seconds for a
/// replica with the new ones is worth about as much.
static constexpr double kOldWeightsPenalty = 0.2;
/// Versions whose naming is remembered; older ones are not served any more.
static constexpr size_t kMaxVersionHistory = 16;
static constexpr double kLearningRate = 0.2;
static constexpr double kSlowestPrefillRate = 100;
static constexpr double kFastestPrefillRate = 1e7;
/// A report loses half its weight in this many seconds.
static constexpr double kReportHalfLife = 1.0;
/// What a peer told is forgotten when nothing follows for so long.
static constexpr duration kPeerBacklogTime = std::chrono::seconds(1);

void replica_table::Reconfigure(time_point now, const configuration& config) {
  configured_.clear();
  std::map<std::string, target_replicas, std::less<>> earlier;
  earlier.swap(by_target_);
  for (const model_spec& model : config.models) {
    target_replicas& target = by_target_[model.name];
    target.version = model.version;
    const auto found = earlier.find(model.name);
    if (found != earlier.end()) {
      target.history = std::move(found->second.history);
      target.estimate = found->second.estimate;
    }
    target.estimate.SetCacheTokens(model.cache_tokens);
    if (target.history.empty() ||
        target.history.back().version != model.version) {
      const bool is_first = target.history.empty();
      target.history.push_back(
          {.version = model.version,
           .since = is_first ? options_.first_version_since : now});
    }
    if (target.history.size() > kMaxVersionHistory) {
      target.history.erase(target.history.begin());
    }
  }
  for (const upstream_spec& spec : config.upstreams) {
    const auto [found, is_new] = by_name_.try_emplace(
        spec.name, static_cast<replica_index>(replicas_.size()));
    if (is_new) {
      replicas_.push_back(
          {.spec = spec, .name_hash = Hash64(spec.name), .warm_since = now});
      replicas_.back().limit = FirstLimit(spec);
      by_hash_[replicas_.back().name_hash] = found->second;
    }
    replica& item = replicas_[found->second];
    item.limit = std::min<double>(item.limit, spec.max_in_flight);
    item.spec = spec;
    configured_.push_back(found->second);
    for (const std::string& target : spec.serves) {
      by_target_[target].indices.push_back(found->second);
      if (!item.is_rate_measured) {
        item.prefill_rate = by_target_[target].estimate.prefill_rate();
      }
    }
  }
  for (auto& [name, target] : by_target_) {
    std::sort(target.indices.begin(), target.indices.end());
  }
}

void replica_table::OnReport(time_point now, const upstream_report& report) {
  const auto found = by_name_.find(report.upstream);
  if (found == by_name_.end()) {
    return;
  }
  replica& item = replicas_[found->second];
  item.reachable = report.reachable;
  if (!report.reachable) {
    return;
  }
  if (item.reported && item.incarnation != report.incarnation) {
    item.warm_since = now;
    item.limit = FirstLimit(item.spec);
  }
  if (item.reported && item.started != report.started) {
    ForgetStart(item);
  }
  item.reported = true;
  item.incarnation = report.incarnation;
  item.started = report.started;
  item.leaving = report.leaving;
  item.models = report.models;
  NoteLoad(now - report.age, item, report.running, report.waiting);
}

void replica_table::ForgetStart(replica& item) {
  // A process that has just started fails for no reason of its past, and runs
  // nothing for anybody. What its machine can do (its speed) is as before.
  item.others_in_flight = 0;
  item.others_waiting = 0;
  item.failures_in_row = 0;
  item.ejected_until = {};
  item.answers.Reset();
}

void replica_table::NoteLoad(time_point at,
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
}

void replica_table::OnFirstByte(replica_index index, double expected_tokens) {
  replica& item = replicas_[index];
  --item.waiting;
  item.pending_tokens = std::max(0.0, item.pending_tokens - expected_tokens);
}

void replica_table::OnAnswered(time_point now,
                               replica_index index,
                               bool failed) {
  replica& item = replicas_[index];
  item.failures_in_row = 0;
  item.answers.OnAnswer(now, failed);
  if (failed) {
    EjectOutlier(now, index);
  }
}

void replica_table::EjectOutlier(time_point now, replica_index index) {
  replica& item = replicas_[index];
  double failed = 0;
  double total = 0;
  for (const replica_index other : configured_) {
    if (other != index && replicas_[other].spec.serves == item.spec.serves) {
      replicas_[other].answers.AddTo(failed, total);
    }
  }
  const double others_share = total > 0 ? failed / total : 0;
  if (item.answers.IsOutlier(others_share)) {
    item.answers.Reset();
    item.ejected_until = now + kOutlierEjection;
  }
}

void replica_table::OnLoad(time_point now, const upstream_load& load) {
  const auto found = by_name_.find(load.upstream);
  if (found != by_name_.end()) {
    NoteLoad(now, replicas_[found->second], load.running, load.waiting);
  }
}

void replica_table::AddPeerBacklogs(std::span<const upstream_backlog> backlogs,
                                    double sign) {
  for (const upstream_backlog& item : backlogs) {
    const auto found = by_hash_.find(item.upstream);
    if (found != by_hash_.end()) {
      double& tokens = replicas_[found->second].others_pending_tokens;
      tokens = std::max(0.0, tokens + sign * item.tokens);
    }
  }
}

void replica_table::OnPeerPlacements(time_point now,
                                     const peer_placements& told) {
  told_backlogs& known = peer_backlogs_[told.peer];
  AddPeerBacklogs(known.backlogs, -1);
  known = {.at = now, .backlogs = told.backlogs};
  AddPeerBacklogs(known.backlogs, 1);
}

void replica_table::ExpirePeerBacklogs(time_point now) {
  std::erase_if(peer_backlogs_, [&](const auto& item) {
    const bool is_old = now - item.second.at > kPeerBacklogTime;
    if (is_old) {
      AddPeerBacklogs(item.second.backlogs, -1);
    }
    return is_old;
  });
}

std::optional<replica_index> replica_table::FindByHash(uint64_t hash) const {
  const auto found = by_hash_.find(hash);
  if (found == by_hash_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<upstream_backlog> replica_table::ListBacklogs() const {
  std::vector<upstream_backlog> list;
  for (const replica& item : replicas_) {
    if (item.pending_tokens >= 1) {
      list.push_back({.upstream = item.name_hash,
                      .tokens = static_cast<uint32_t>(item.pending_tokens)});
    }
  }
  return list;
}

void replica_table::SetChanging(const upstream_changing& event) {
  const auto found = by_name_.find(event.upstream);
  if (found != by_name_.end()) {
    replicas_[found->second].changing = event.is_changing;
  }
}

std::string replica_table::VersionAt(replica_index index,
                                     std::string_view target) const {
  for (const loaded_model& model : replicas_[index].models) {
    if (model.name == target) {
      return model.version;
    }
  }
  return {};
}

weights_tag replica_table::WeightsAt(replica_index index,
                                     std::string_view target) const {
  const std::string version = VersionAt(index, target);
  // Never the tag that stands for none.
  return version.empty() ? kNoWeights
                         : static_cast<weights_tag>(Hash64(version)) | 1U;
}

time_point replica_table::SupersededAt(const target_replicas& target,
                                       std::string_view version) {
  // The time in which old weights may be used runs from the naming of the
  // next version, however many were named since.
  const auto known = std::find_if(
      target.history.begin(), target.history.end(),
      [&](const version_start& item) { return item.version == version; });
  if (known == target.history.end()) {
    return target.history.front().since;
  }
  return std::next(known) == target.history.end() ? target.history.back().since
                                                  : std::next(known)->since;
}

std::optional<time_point> replica_table::LastStart(
    std::string_view target,
    std::string_view version) const {
  const auto found = by_target_.find(target);
  if (options_.old_weights_limit == duration(0) || found == by_target_.end() ||
      version.empty() || found->second.version == version ||
      found->second.history.empty()) {
    return std::nullopt;
  }
  return SupersededAt(found->second, version) + options_.old_weights_limit;
}

std::optional<double> replica_table::OldWeightsPenalty(
    time_point now,
    std::string_view name,
    const target_replicas& target,
    const replica& item) const {
  const auto model = std::find_if(
      item.models.begin(), item.models.end(),
      [&](const loaded_model& loaded) { return loaded.name == name; });
  if (model == item.models.end()) {
    return std::nullopt;
  }
  const duration age = now - SupersededAt(target, model->version);
  // What waits there already runs first; a request that would begin after the
  // bound is better placed elsewhere, or told so.
  const double queue = EstimateQueueSeconds(now, IndexOf(item));
  const duration begins = age + FromSeconds(kQueueDoubt * queue);
  if (!item.reported || begins >= options_.old_weights_time) {
    return std::nullopt;
  }
  return age < options_.old_weights_grace ? 0 : kOldWeightsPenalty;
}

void replica_table::AdaptLimit(time_point now,
                               replica_index index,
                               duration took,
                               double computing) {
  replica& item = replicas_[index];
  const double expected = kLateFactor * computing + kLateSeconds;
  const double seconds = ToSeconds(took);
  if (seconds <= expected) {
    RaiseLimit(item);
    return;
  }
  const duration pause =
      std::clamp(took, kLeastDecreasePause, kLongestDecreasePause);
  if (now - item.lowered_at >= pause) {
    item.lowered_at = now;
    item.limit = std::max(
        1.0, item.limit * std::clamp(expected / seconds, kLargestDecrease,
                                     kSmallestDecrease));
  }
}

void replica_table::RaiseLimit(replica& item) {
  // Raised only while it is used, or an idle hour would raise it to the top.
  if (item.in_flight + 1 < item.limit) {
    return;
  }
  // Doubles each round until it was too high for the first time.
  const bool is_probing = item.lowered_at == time_point();
  const double step = is_probing ? 1 : 1 / std::max(1.0, item.limit);
  item.limit = std::min<double>(item.spec.max_in_flight, item.limit + step);
}

double replica_table::FirstLimit(const upstream_spec& spec) const {
  const double part =
      kFirstLimitFactor * spec.max_in_flight / static_cast<double>(fleet_size_);
  return std::clamp<double>(part, 1, spec.max_in_flight);
}

void replica_table::OnBusy(time_point now, replica_index index) {
  replica& item = replicas_[index];
  item.limit = std::max(1.0, item.limit * kBusyDecrease);
  item.ejected_until = std::max(item.ejected_until, now + kBusyPause);
}

void replica_table::OnFailure(time_point now, replica_index index) {
  replica& item = replicas_[index];
  const uint32_t doublings =
      std::min(item.failures_in_row, kMaxEjectionDoublings);
  ++item.failures_in_row;
  item.ejected_until = now + kFirstEjection * (1 << doublings);
}

void replica_table::LearnComputed(replica_index index, double tokens) {
  replica& item = replicas_[index];
  item.computed_per_request +=
      kLearningRate * (tokens - item.computed_per_request);
}

void replica_table::OnEnd(replica_index index) {
  replica& item = replicas_[index];
  assert(item.in_flight > 0 && "an attempt ended twice");
  --item.in_flight;
}

void replica_table::LearnAnswerTime(replica_index index, duration took) {
  replica& item = replicas_[index];
  item.answer_seconds +=
      kLearningRate * (ToSeconds(took) - item.answer_seconds);
}

void replica_table::LearnFirstByte(replica_index index, duration took) {
  replica& item = replicas_[index];
  item.first_byte_seconds +=
      kLearningRate * (ToSeconds(took) - item.first_byte_seconds);
}

void replica_table::LearnTargetFirstByte(std::string_view target,
                                         duration took) {
  if (const auto found = by_target_.find(target); found != by_target_.end()) {
    found->second.estimate.LearnFirstByte(took);
  }
}

duration replica_table::UsualFirstByte(std::string_view target) const {
  const auto found = by_target_.find(target);
  return found == by_target_.end() ? duration(0)
                                   : found->second.estimate.UsualFirstByte();
}

void replica_table::CountAdded(time_point now,
                               std::string_view target,
                               double tokens) {
  if (const auto found = by_target_.find(target); found != by_target_.end()) {
    found->second.estimate.CountAdded(now, tokens);
  }
}

double replica_table::HitChance(time_point now,
                                std::string_view target,
                                duration age) const {
  const auto found = by_target_.find(target);
  return found == by_target_.end()
             ? 0
             : found->second.estimate.HitChance(now, age, fleet_size_,
                                                found->second.indices.size());
}

std::optional<replica_index> replica_table::HomeOf(std::string_view target,
                                                   uint64_t prefix) const {
  const auto found = by_target_.find(target);
  if (found == by_target_.end()) {
    return std::nullopt;
  }
  std::optional<replica_index> home;
  uint64_t best = 0;
  for (const replica_index index : found->second.indices) {
    const uint64_t weight =
        RendezvousWeight(prefix, replicas_[index].name_hash);
    if (!home || weight > best) {
      home = index;
      best = weight;
    }
  }
  return home;
}

double replica_table::EstimateRoomSeconds(replica_index index) const {
  const replica& item = replicas_[index];
  // Room comes as fast as requests are computed or as answers end, whichever
  // is slower. Time that requests wait in the engine is not part of it: with
  // it a busy home looked worse the busier all were, and was passed over.
  const double computing = item.computed_per_request / item.prefill_rate;
  const double answering = item.answer_seconds / std::max(1.0, item.limit);
  return (item.queued_here + 1) * std::max(computing, answering);
}

void replica_table::ClearQueued() {
  for (replica& item : replicas_) {
    item.queued_here = 0;
  }
}

void replica_table::LearnPrefillRate(replica_index index,
                                     double tokens,
                                     duration took) {
  replica& item = replicas_[index];
  const double seconds = std::max(1e-4, ToSeconds(took));
  const double sample =
      std::clamp(tokens / seconds, kSlowestPrefillRate, kFastestPrefillRate);
  item.is_rate_measured = true;
  item.prefill_rate += kLearningRate * (sample - item.prefill_rate);
  // In a large fleet a daemon meets each replica once in a few seconds. Were
  // each learnt alone, those that answered first would look several times as
  // fast as the others, and would get all the requests.
  for (const std::string& name : item.spec.serves) {
    target_replicas& target = by_target_[name];
    target.estimate.LearnPrefillRate(sample);
    for (const replica_index other : target.indices) {
      if (!replicas_[other].is_rate_measured) {
        replicas_[other].prefill_rate = target.estimate.prefill_rate();
      }
    }
  }
}

bool replica_table::ServesVersion(const replica& item,
                                  std::string_view target,
                                  std::string_view version) {
  return std::any_of(item.models.begin(), item.models.end(),
                     [&](const loaded_model& model) {
                       return model.name == target && model.version == version;
                     });
}

/// Other daemons' waiting requests, the older the report the fewer.
static double OthersWaiting(time_point now, const replica& item) {
  if (item.others_waiting == 0) {
    return 0;
  }
  const double age = std::max(0.0, ToSeconds(now - item.reported_at));
  return item.others_waiting * std::exp2(-age / kReportHalfLife);
}

bool replica_table::HasRoom(time_point now, const replica& item) {
  const double age = ToSeconds(now - item.warm_since);
  const double ramp = std::min(
      1.0, kSlowStartShare + (1 - kSlowStartShare) * age / kSlowStartSeconds);
  return item.in_flight + 1 <= std::max(1.0, item.limit * ramp);
}

eligible_replicas replica_table::ListEligible(
    time_point now,
    std::string_view target,
    std::span<const std::string> failure_domains,
    std::span<const replica_index> excluded) const {
  eligible_replicas result;
  eligible_replicas ejected;
  const auto found = by_target_.find(target);
  if (found == by_target_.end()) {
    return result;
  }
  const std::string& version = found->second.version;
  for (const replica_index index : found->second.indices) {
    const replica& item = replicas_[index];
    const bool allowed =
        failure_domains.empty() ||
        std::find(failure_domains.begin(), failure_domains.end(),
                  item.spec.failure_domain) != failure_domains.end();
    if (!allowed || item.spec.leaving || item.leaving) {
      continue;
    }
    // Until an engine has reported the configured version it gets nothing:
    // its answer could come from older weights.
    const bool has_weights =
        version.empty() ||
        (item.reported && ServesVersion(item, target, version));
    const std::optional<double> penalty =
        has_weights ? 0 : OldWeightsPenalty(now, target, found->second, item);
    const bool usable =
        item.reachable && !item.changing &&
        std::find(excluded.begin(), excluded.end(), index) == excluded.end();
    if (!penalty || !usable) {
      continue;
    }
    eligible_replicas& list = now >= item.ejected_until ? result : ejected;
    list.indices.push_back(index);
    list.has_room.push_back(HasRoom(now, item));
    list.penalty_seconds.push_back(*penalty);
    list.weights.push_back(WeightsAt(index, target));
  }
  // With every replica ejected, any of them is better than none.
  return result.indices.empty() ? ejected : result;
}

double replica_table::EstimateWaiting(time_point now,
                                      replica_index index) const {
  const replica& item = replicas_[index];
  return item.waiting + item.queued_here + OthersWaiting(now, item);
}

double replica_table::EstimateQueueSeconds(time_point now,
                                           replica_index index) const {
  const replica& item = replicas_[index];
  // An engine's own count of waiting tokens would include what it has cached,
  // which made daemons flee from the replicas that served them best.
  const double reported = OthersWaiting(now, item) * item.computed_per_request;
  const double others =
      peer_backlogs_.empty() ? reported : item.others_pending_tokens;
  return (item.pending_tokens + others) / item.prefill_rate;
}

}  // namespace cuminswitch
