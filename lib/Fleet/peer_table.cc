#include "cuminswitch/Fleet/peer_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "cuminswitch/Support/hash.h"
#include "peer_table_constants.h"

namespace cuminswitch {

/// What decides which of two statements on one daemon is the later one. To be
/// suspected counts for the version that is suspected, and not for the next.
static auto OrderOf(const daemon_record& record, bool is_suspected) {
  return std::tuple(record.incarnation, record.version, is_suspected);
}

peer_table::peer_table(options opts) : options_(std::move(opts)) {
  for (const endpoint& seed : options_.seeds) {
    if (seed != options_.self_address) {
      addresses_[seed].is_listed = true;
    }
  }
}

void peer_table::SetListed(std::span<const daemon_entry> daemons) {
  for (auto& [address, state] : addresses_) {
    state.is_listed = std::find(options_.seeds.begin(), options_.seeds.end(),
                                address) != options_.seeds.end();
  }
  for (const daemon_entry& item : daemons) {
    if (item.name != options_.self_name) {
      addresses_[item.peer_address].is_listed = true;
    }
  }
}

bool peer_table::IsLarge() const {
  return addresses_.size() > kBeatsPerRound;
}

bool peer_table::IsPartial() const {
  return addresses_.size() > kBeatsPerRound * kMostRoundsInATurn;
}

bool peer_table::OnHeartbeat(time_point now, const heartbeat_frame& beat) {
  const daemon_record& sender = beat.sender;
  if (sender.name == options_.self_name) {
    return false;
  }
  for (const endpoint& address : beat.recent_peers) {
    if (address != options_.self_address) {
      addresses_[address].named_at = now;
    }
  }
  heard_any_at_ = now;
  peer& known = peers_[sender.name];
  address_state& address = addresses_[sender.peer_address];
  address.heard_at = now;
  address.owner = &known;
  if (sender.incarnation < known.record.incarnation) {
    return false;
  }
  const bool was_serving = known.record.is_ready;
  const bool is_late = sender.incarnation == known.record.incarnation &&
                       sender.version < known.record.version;
  const bool is_news =
      !is_late &&
      (!IsAlive(now, known) || known.record.incarnation != sender.incarnation ||
       known.record.version != sender.version ||
       known.record.is_ready != sender.is_ready ||
       known.record.is_leaving != sender.is_leaving);
  if (!is_late) {
    const bool is_same_version =
        known.record.incarnation == sender.incarnation &&
        known.record.version == sender.version;
    if (is_same_version && known.suspected_at) {
      known.has_contradicted = true;
      to_hear_suspicion_[sender.peer_address] = sender.name;
    } else if (!is_same_version) {
      known.has_contradicted = false;
    }
    known.suspected_at.reset();
    if (known.record.incarnation != sender.incarnation) {
      known.began_at = now;
    }
    known.record = sender;
    known.name_hash = Hash64(sender.name);
    if (beat.is_watched) {
      watched_.try_emplace(sender.name, now);
    } else {
      watched_.erase(sender.name);
    }
  }
  known.heard_at = now;
  known.known_at = now;
  if (is_news) {
    has_news_ = true;
    must_choose_watchers_ = true;
    // Nobody needs to know of one that does not serve yet.
    if (IsLarge() && (sender.is_ready || was_serving)) {
      bulletin_.Add({.record = sender});
    }
  }
  for (const member_update& news : beat.members) {
    OnMemberNews(now, news);
  }
  return is_news;
}

void peer_table::OnMemberNews(time_point now, const member_update& news) {
  const daemon_record& record = news.record;
  if (record.name == options_.self_name) {
    OnSelfNews(news);
    return;
  }
  const auto found = peers_.find(record.name);
  const bool is_known = found != peers_.end();
  if (!is_known && news.is_suspected) {
    return;
  }
  if (is_known) {
    const peer& known = found->second;
    if (OrderOf(record, news.is_suspected) <=
        OrderOf(known.record,
                known.suspected_at.has_value() || known.has_contradicted)) {
      return;
    }
  }
  peer& item = is_known ? found->second : peers_[record.name];
  if (news.is_suspected) {
    item.record.incarnation = record.incarnation;
    item.record.version = record.version;
    Suspect(now, item);
    return;
  }
  const revision_number revision = item.record.revision;
  if (item.record.incarnation != record.incarnation) {
    item.began_at = now;
  }
  item.record = record;
  item.record.revision = revision;
  item.name_hash = Hash64(record.name);
  item.suspected_at.reset();
  item.has_contradicted = false;
  item.known_at = now;
  address_state& address = addresses_[record.peer_address];
  address.named_at = now;
  address.owner = &item;
  bulletin_.Add(news);
  has_news_ = true;
  must_choose_watchers_ = true;
}

void peer_table::OnSelfNews(const member_update& news) {
  if (news.is_suspected &&
      news.record.incarnation == options_.self_incarnation &&
      news.record.version >= self_version_) {
    self_version_ = news.record.version + 1;
  }
}

void peer_table::Suspect(time_point now, peer& item) {
  item.suspected_at = now;
  item.has_contradicted = false;
  watched_.erase(item.record.name);
  must_choose_watchers_ = true;
  newly_suspected_.push_back(item.record.name);
  bulletin_.Add({.record = item.record, .is_suspected = true});
}

void peer_table::SuspectSilent(time_point now) {
  if (now - last_round_ > kLongestRound) {
    awake_since_ = now;
  }
  last_round_ = now;
  AdoptOrphans(now);
  std::vector<peer*> silent;
  for (const auto& [name, since] : watched_) {
    peer& item = peers_.find(name)->second;
    const duration most =
        now - item.began_at < kStartTime ? kWatchSilenceAtStart : kWatchSilence;
    if (now - std::max({item.heard_at, since, awake_since_}) > most) {
      silent.push_back(&item);
    }
  }
  for (peer* item : silent) {
    Suspect(now, *item);
  }
}

void peer_table::AdoptOrphans(time_point now) {
  const bool is_due = IsPartial() && now >= next_adoption_;
  if (!IsLarge() || (!must_adopt_ && !is_due)) {
    return;
  }
  must_adopt_ = false;
  next_adoption_ = now + kAdoptionInterval;
  for (const peer* item :
       ListNext(now, ring_side::kWatched, true, kOwnDomainWatchers)) {
    // One that never said anything new of itself may be of a release whose
    // daemons are not watched.
    if (item->record.version > 0) {
      watched_.try_emplace(item->record.name, now);
    }
  }
}

std::vector<member_update> peer_table::TakeMemberUpdates(
    time_point now,
    const endpoint& address) {
  std::vector<member_update> news = bulletin_.Take(kMemberNewsPerBeat);
  if (IsPartial() && news.size() < kMemberNewsPerBeat) {
    // Whoever missed a piece of news learns it so, sooner or later.
    for (const peer* item : NextLiving(now, 1)) {
      if (!item->suspected_at) {
        news.push_back({.record = item->record});
      }
    }
  }
  if (const auto found = to_hear_suspicion_.find(address);
      found != to_hear_suspicion_.end()) {
    news.push_back({.record = peers_.find(found->second)->second.record,
                    .is_suspected = true});
    to_hear_suspicion_.erase(found);
  }
  return news;
}

duration peer_table::Horizon() const {
  const size_t rounds = std::max<size_t>(
      1, (addresses_.size() + kBeatsPerRound - 1) / kBeatsPerRound);
  return kFailureTimeout + kHeartbeatInterval * (rounds - 1) * 3;
}

duration peer_table::ConvergenceTime() const {
  return std::min(Horizon() + kFailureTimeout, kLongestNotice);
}

bool peer_table::IsAlive(time_point now, const peer& item) const {
  const bool is_gone =
      item.suspected_at && now - *item.suspected_at > kSuspicionTime;
  if (item.known_at == time_point() || is_gone) {
    return false;
  }
  return IsPartial() ? now - heard_any_at_ <= kIsolatedAfter
                     : now - item.known_at <= Horizon();
}

const daemon_record* peer_table::Find(const std::string& name) const {
  const auto found = peers_.find(name);
  return found == peers_.end() ? nullptr : &found->second.record;
}

bool peer_table::IsAlive(time_point now, const std::string& name) const {
  const auto found = peers_.find(name);
  return found != peers_.end() && IsAlive(now, found->second);
}

std::vector<daemon_record> peer_table::ListAlive(time_point now) const {
  std::vector<daemon_record> list;
  for (const auto& [name, item] : peers_) {
    if (IsAlive(now, item)) {
      list.push_back(item.record);
    }
  }
  return list;
}

bool peer_table::TakeChanged(time_point now) {
  own_domain_living_ = 0;
  for (auto& [name, item] : peers_) {
    const bool is_living = IsAlive(now, item);
    if (is_living && item.record.failure_domain == options_.self_domain) {
      ++own_domain_living_;
    }
    if (is_living != item.was_living) {
      item.was_living = is_living;
      has_news_ = true;
      must_choose_watchers_ = true;
      must_adopt_ = must_adopt_ || item.suspected_at.has_value();
    }
  }
  return std::exchange(has_news_, false);
}

std::vector<endpoint> peer_table::SampleAlive(time_point now) {
  std::vector<endpoint> named;
  if (IsPartial()) {
    // There a whole record stands among the news of members.
    return named;
  }
  for (const peer* item : NextLiving(now, kNamedPerBeat)) {
    named.push_back(item->record.peer_address);
  }
  return named;
}

std::vector<const peer_table::peer*> peer_table::NextLiving(time_point now,
                                                            size_t count) {
  std::vector<const peer*> named;
  auto next = peers_.upper_bound(last_named_);
  for (size_t i = 0; i < peers_.size() && named.size() < count; ++i) {
    if (next == peers_.end()) {
      next = peers_.begin();
    }
    if (IsAlive(now, next->second)) {
      named.push_back(&next->second);
      last_named_ = next->first;
    }
    ++next;
  }
  return named;
}

size_t peer_table::CountPossiblyActive(time_point now) const {
  return 1 +
         std::count_if(
             addresses_.begin(), addresses_.end(), [&](const auto& item) {
               const address_state& state = item.second;
               return (state.owner != nullptr && IsAlive(now, *state.owner)) ||
                      now - std::max({state.heard_at, state.named_at,
                                      state.known_at}) <=
                          kMaybeAtWorkTime;
             });
}

size_t peer_table::CountKnown() const {
  return 1 + std::max(peers_.size(), addresses_.size());
}

}  // namespace cuminswitch
