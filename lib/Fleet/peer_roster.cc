#include "cuminswitch/Fleet/peer_roster.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {

/// Beats sent in one round, so that a daemon's cost stays flat as the fleet
/// grows; a larger fleet is gone through in turn.
static constexpr size_t kBeatsPerRound = 16;
/// A turn that takes more rounds is not gone through: it would last 1.5 s, and
/// what a peer's requests wait for is forgotten after a second.
static constexpr size_t kMostRoundsInATurn = 12;
/// Partners of other failure domains. Beats between domains are the dearer
/// ones; a few links a daemon join the domains as well as many.
static constexpr size_t kOtherDomainPartners = 4;
/// How long a partner is kept. A connection is opened for it, and pays for
/// itself over this.
static constexpr duration kPartnerTime = std::chrono::seconds(20);
/// A partner of which nothing is heard by then is not there.
static constexpr duration kUnknownPartnerTime = std::chrono::seconds(2);
/// How often a daemon looks whether those next to it on the ring are watched.
static constexpr duration kAdoptionInterval = std::chrono::seconds(5);
/// Where no peer at all was heard for so long this daemon is cut off.
static constexpr duration kIsolatedAfter = std::chrono::seconds(3);
/// Beats of a round beside these, to the peers that watch this daemon. Where
/// half of a fleet is lost at once, one in eight times none of three is left,
/// and the next ones adopt the daemon.
static constexpr size_t kWatchers = 3;
/// A watched peer is suspected after five beats that did not come.
static constexpr duration kWatchSilence = std::chrono::milliseconds(600);
/// From when a daemon hears that a peer is suspected until it takes it for
/// gone. The news reach the peer, and its answer all others, in three rounds.
static constexpr duration kSuspicionTime = std::chrono::milliseconds(400);
/// A daemon that was away for longer between two rounds has not read what its
/// peers sent.
static constexpr duration kLongestRound = 3 * peer_roster::kBeatInterval;
/// Peers named in a beat, others each time. The store lists them all, so this
/// is for the time without it; many beats a second name all peers soon.
static constexpr size_t kNamedPerBeat = 3;
/// Partners beaten in one round while there are news of members, and while
/// there are none. Messages cost more than the bytes in them.
static constexpr size_t kPartnersWithNews = 8;
static constexpr size_t kPartnersAtRest = 2;
/// News of members in one beat.
static constexpr size_t kMemberNewsPerBeat = 48;
/// Peers that are told something out of turn.
static constexpr size_t kMostReachable = 96;
/// A peer that was not heard for so long is tried rarely, where one round
/// reaches all.
static constexpr duration kSilentAfter = std::chrono::seconds(2);
static constexpr duration kSilentInterval = std::chrono::seconds(1);
/// Between two beats to one peer out of turn. All of a fleet that starts at
/// once beat the same few seeds.
static constexpr duration kAnswerInterval = std::chrono::milliseconds(300);
/// An address that only others named is forgotten after so long in silence.
static constexpr duration kForgetAfter = std::chrono::seconds(10);
/// News of an end or a return reach all in less, whatever the fleet's size.
static constexpr duration kLongestNotice = std::chrono::seconds(4);

/// A daemon that was silent for longer is taken for gone for good: one that is
/// killed is back within seconds, and a cut between hosts that lasts longer is
/// an outage that operators know of.
static constexpr duration kMaybeAtWorkTime = std::chrono::seconds(60);

/// What decides which of two statements on one daemon is the later one. To be
/// suspected counts for the version that is suspected, and not for the next.
static auto OrderOf(const daemon_record& record, bool is_suspected) {
  return std::tuple(record.incarnation, record.version, is_suspected);
}

peer_roster::peer_roster(options opts) : options_(std::move(opts)) {
  for (const endpoint& seed : options_.seeds) {
    if (seed != options_.self_address) {
      addresses_[seed].is_listed = true;
    }
  }
}

void peer_roster::SetListed(std::span<const daemon_entry> daemons) {
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

bool peer_roster::IsLarge() const {
  return addresses_.size() > kBeatsPerRound;
}

bool peer_roster::IsPartial() const {
  return addresses_.size() > kBeatsPerRound * kMostRoundsInATurn;
}

bool peer_roster::OnBeat(time_point now, const beat_frame& beat) {
  const daemon_record& sender = beat.sender;
  if (sender.name == options_.self_name) {
    return false;
  }
  for (const endpoint& address : beat.heard) {
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
  const bool is_late = sender.incarnation == known.record.incarnation &&
                       sender.version < known.record.version;
  const bool is_news =
      !is_late && (!IsLiving(now, known) ||
                   known.record.incarnation != sender.incarnation ||
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
    known.record = sender;
    known.name_hash = Hash64(sender.name);
    known.is_watched = beat.is_watched;
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
    if (IsLarge()) {
      bulletin_.Add({.record = sender});
    }
  }
  for (const member_news& news : beat.members) {
    OnMemberNews(now, news);
  }
  return is_news;
}

void peer_roster::OnMemberNews(time_point now, const member_news& news) {
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

void peer_roster::OnSelfNews(const member_news& news) {
  if (news.is_suspected &&
      news.record.incarnation == options_.self_incarnation &&
      news.record.version >= self_version_) {
    self_version_ = news.record.version + 1;
  }
}

void peer_roster::Suspect(time_point now, peer& item) {
  item.suspected_at = now;
  item.has_contradicted = false;
  item.is_watched = false;
  watched_.erase(item.record.name);
  must_choose_watchers_ = true;
  newly_suspected_.push_back(item.record.name);
  bulletin_.Add({.record = item.record, .is_suspected = true});
}

void peer_roster::SuspectSilent(time_point now) {
  if (now - last_round_ > kLongestRound) {
    awake_since_ = now;
  }
  last_round_ = now;
  AdoptOrphans(now);
  std::vector<peer*> silent;
  for (const auto& [name, since] : watched_) {
    peer& item = peers_.find(name)->second;
    if (now - std::max({item.heard_at, since, awake_since_}) > kWatchSilence) {
      silent.push_back(&item);
    }
  }
  for (peer* item : silent) {
    Suspect(now, *item);
  }
}

std::vector<std::pair<uint64_t, peer_roster::peer*>> peer_roster::ListOnRing(
    time_point now,
    bool is_backward) {
  const uint64_t self = Hash64(options_.self_name);
  std::vector<std::pair<uint64_t, peer*>> ring;
  for (auto& [name, item] : peers_) {
    if (IsLiving(now, item) && !item.suspected_at) {
      const uint64_t distance =
          is_backward ? self - item.name_hash : item.name_hash - self;
      ring.emplace_back(distance, &item);
    }
  }
  const size_t count = std::min(ring.size(), kWatchers);
  std::partial_sort(ring.begin(),
                    ring.begin() + static_cast<std::ptrdiff_t>(count),
                    ring.end());
  ring.resize(count);
  return ring;
}

void peer_roster::AdoptOrphans(time_point now) {
  const bool is_due = IsPartial() && now >= next_adoption_;
  if (!IsLarge() || (!must_adopt_ && !is_due)) {
    return;
  }
  must_adopt_ = false;
  next_adoption_ = now + kAdoptionInterval;
  for (const auto& [distance, item] : ListOnRing(now, true)) {
    watched_.try_emplace(item->record.name, now);
  }
}

std::vector<member_news> peer_roster::TakeMemberNews(time_point now,
                                                     const endpoint& address) {
  std::vector<member_news> news = bulletin_.Take(kMemberNewsPerBeat);
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

void peer_roster::ChooseWatchers(time_point now,
                                 std::vector<endpoint>& targets) {
  if (!std::exchange(must_choose_watchers_, false)) {
    return;
  }
  std::set<endpoint> chosen;
  if (IsLarge()) {
    for (const auto& [distance, item] : ListOnRing(now, false)) {
      chosen.insert(item->record.peer_address);
    }
  }
  for (const endpoint& former : watchers_) {
    if (!chosen.contains(former)) {
      targets.push_back(former);
    }
  }
  watchers_ = std::move(chosen);
}

void peer_roster::BeginTurn(time_point now) {
  std::erase_if(addresses_, [&](const auto& item) {
    const address_state& state = item.second;
    const bool lives = state.owner != nullptr && IsLiving(now, *state.owner);
    return !state.is_listed && !lives &&
           now - std::max(state.heard_at, state.named_at) > kForgetAfter;
  });
  const uint64_t key =
      CombineHash(Hash64(options_.self_address.ToString()), ++turn_number_);
  std::vector<std::pair<uint64_t, endpoint>> order;
  order.reserve(addresses_.size());
  for (const auto& [address, state] : addresses_) {
    order.emplace_back(
        RendezvousWeight(key, Hash64(address.address, address.port)), address);
  }
  // Each daemon in an order of its own, so that no peer is beaten by all in the
  // same moment, and news spread in all directions.
  std::sort(order.begin(), order.end());
  turn_.clear();
  for (auto& [weight, address] : order) {
    turn_.push_back(std::move(address));
  }
}

std::vector<endpoint> peer_roster::ChooseTargets(time_point now) {
  SuspectSilent(now);
  std::vector<endpoint> chosen;
  ChooseWatchers(now, chosen);
  chosen.insert(chosen.end(), watchers_.begin(), watchers_.end());
  if (IsPartial()) {
    RenewPartners(now);
    const size_t count =
        std::min(partners_.size(),
                 bulletin_.IsEmpty() ? kPartnersAtRest : kPartnersWithNews);
    for (size_t i = 0; i < count; ++i) {
      const endpoint& address =
          partners_[next_partner_++ % partners_.size()].address;
      if (!watchers_.contains(address)) {
        chosen.push_back(address);
      }
    }
    return chosen;
  }
  const size_t others = chosen.size() + kBeatsPerRound;
  if (!IsLarge() || turn_.empty()) {
    BeginTurn(now);
  }
  while (!turn_.empty() && chosen.size() < others) {
    const endpoint next = std::move(turn_.back());
    turn_.pop_back();
    const auto found = addresses_.find(next);
    if (found == addresses_.end() || watchers_.contains(next)) {
      continue;
    }
    address_state& state = found->second;
    if (state.known_at == time_point()) {
      state.known_at = now;
    }
    const bool is_silent = now - state.heard_at > kSilentAfter;
    if (!is_silent || now - state.tried_at >= kSilentInterval) {
      state.tried_at = now;
      chosen.push_back(next);
    }
  }
  return chosen;
}

bool peer_roster::MayBePartner(time_point now,
                               const address_state& state,
                               time_point since) const {
  if (state.owner != nullptr) {
    return IsLiving(now, *state.owner);
  }
  return now - since < kUnknownPartnerTime;
}

void peer_roster::RenewPartners(time_point now) {
  std::erase_if(partners_, [&](const partner& item) {
    const auto found = addresses_.find(item.address);
    return found == addresses_.end() ||
           !MayBePartner(now, found->second, item.since);
  });
  if (now >= next_renewal_ && partners_.size() == kBeatsPerRound) {
    next_renewal_ = now + kPartnerTime / kBeatsPerRound;
    partners_.erase(partners_.begin());
  }
  if (partners_.size() < kBeatsPerRound) {
    FindPartners(now);
  }
}

void peer_roster::FindPartners(time_point now) {
  if (turn_.empty()) {
    BeginTurn(now);
  }
  const size_t most_others = own_domain_living_ >= kBeatsPerRound
                                 ? kOtherDomainPartners
                                 : kBeatsPerRound;
  auto others = static_cast<size_t>(std::count_if(
      partners_.begin(), partners_.end(),
      [](const partner& item) { return !item.is_of_own_domain; }));
  while (!turn_.empty() && partners_.size() < kBeatsPerRound) {
    const endpoint next = std::move(turn_.back());
    turn_.pop_back();
    const auto found = addresses_.find(next);
    if (found == addresses_.end()) {
      continue;
    }
    address_state& state = found->second;
    if (state.known_at == time_point()) {
      state.known_at = now;
    }
    const bool is_known =
        std::any_of(partners_.begin(), partners_.end(),
                    [&](const partner& item) { return item.address == next; });
    const bool is_own =
        state.owner != nullptr &&
        state.owner->record.failure_domain == options_.self_domain;
    // One that was tried in vain has its time again in the next turn.
    const bool was_tried =
        state.owner == nullptr && now - state.tried_at < kForgetAfter;
    if (is_known || was_tried || (!is_own && others >= most_others) ||
        !MayBePartner(now, state, now)) {
      continue;
    }
    state.tried_at = now;
    others += is_own ? 0 : 1;
    partners_.push_back(
        {.address = next, .since = now, .is_of_own_domain = is_own});
  }
}

bool peer_roster::TakeAnswerTurn(time_point now, const endpoint& address) {
  address_state& state = addresses_[address];
  if (now - state.tried_at < kAnswerInterval) {
    return false;
  }
  state.tried_at = now;
  return true;
}

std::vector<endpoint> peer_roster::ListReachable(time_point now) const {
  if (IsPartial()) {
    std::vector<endpoint> reachable(watchers_.begin(), watchers_.end());
    for (const partner& item : partners_) {
      reachable.push_back(item.address);
    }
    return reachable;
  }
  std::vector<std::pair<uint64_t, endpoint>> list;
  const uint64_t key = Hash64(options_.self_address.ToString(), turn_number_);
  for (const auto& [address, state] : addresses_) {
    if (now - state.heard_at <= kSilentAfter) {
      list.emplace_back(
          RendezvousWeight(key, Hash64(address.address, address.port)),
          address);
    }
  }
  std::sort(list.begin(), list.end());
  std::vector<endpoint> reachable;
  for (size_t i = 0; i < std::min(list.size(), kMostReachable); ++i) {
    reachable.push_back(std::move(list[i].second));
  }
  return reachable;
}

duration peer_roster::Horizon() const {
  const size_t rounds = std::max<size_t>(
      1, (addresses_.size() + kBeatsPerRound - 1) / kBeatsPerRound);
  return kLivingTime + kBeatInterval * (rounds - 1) * 3;
}

duration peer_roster::NoticeTime() const {
  return std::min(Horizon() + kLivingTime, kLongestNotice);
}

bool peer_roster::IsLiving(time_point now, const peer& item) const {
  const bool is_gone =
      item.suspected_at && now - *item.suspected_at > kSuspicionTime;
  if (item.known_at == time_point() || is_gone) {
    return false;
  }
  return IsPartial() ? now - heard_any_at_ <= kIsolatedAfter
                     : now - item.known_at <= Horizon();
}

const daemon_record* peer_roster::Find(const std::string& name) const {
  const auto found = peers_.find(name);
  return found == peers_.end() ? nullptr : &found->second.record;
}

bool peer_roster::IsLiving(time_point now, const std::string& name) const {
  const auto found = peers_.find(name);
  return found != peers_.end() && IsLiving(now, found->second);
}

std::vector<daemon_record> peer_roster::ListLiving(time_point now) const {
  std::vector<daemon_record> list;
  for (const auto& [name, item] : peers_) {
    if (IsLiving(now, item)) {
      list.push_back(item.record);
    }
  }
  return list;
}

bool peer_roster::TakeNews(time_point now) {
  own_domain_living_ = 0;
  for (auto& [name, item] : peers_) {
    const bool is_living = IsLiving(now, item);
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

std::vector<endpoint> peer_roster::NameLiving(time_point now) {
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

std::vector<const peer_roster::peer*> peer_roster::NextLiving(time_point now,
                                                              size_t count) {
  std::vector<const peer*> named;
  auto next = peers_.upper_bound(last_named_);
  for (size_t i = 0; i < peers_.size() && named.size() < count; ++i) {
    if (next == peers_.end()) {
      next = peers_.begin();
    }
    if (IsLiving(now, next->second)) {
      named.push_back(&next->second);
      last_named_ = next->first;
    }
    ++next;
  }
  return named;
}

const daemon_record* peer_roster::FindAhead(time_point now,
                                            revision_number revision,
                                            uint64_t turn) const {
  const uint64_t key = Hash64(options_.self_name, turn);
  const auto rank = [&](const peer& item) {
    return std::tuple(item.record.has_store,
                      item.record.failure_domain == options_.self_domain,
                      RendezvousWeight(key, item.name_hash));
  };
  const peer* best = nullptr;
  for (const auto& [name, item] : peers_) {
    const bool is_ahead =
        IsLiving(now, item) && item.record.revision > revision;
    if (is_ahead && (best == nullptr || rank(item) > rank(*best))) {
      best = &item;
    }
  }
  return best == nullptr ? nullptr : &best->record;
}

size_t peer_roster::CountMaybeAtWork(time_point now) const {
  return 1 +
         std::count_if(
             addresses_.begin(), addresses_.end(), [&](const auto& item) {
               const address_state& state = item.second;
               return (state.owner != nullptr && IsLiving(now, *state.owner)) ||
                      now - std::max({state.heard_at, state.named_at,
                                      state.known_at}) <=
                          kMaybeAtWorkTime;
             });
}

size_t peer_roster::CountKnown() const {
  return 1 + std::max(peers_.size(), addresses_.size());
}

}  // namespace cuminswitch
