#include "peer_table_simulation.h"

#include <algorithm>
#include <utility>

namespace cuminswitch {

using std::chrono::milliseconds;

peer_table_simulation::peer_table_simulation(const options& opts)
    : options_(opts), random_(opts.seed), hosts_(opts.hosts) {
  for (size_t i = 0; i < hosts_.size(); ++i) {
    by_address_[AddressOf(i)] = i;
    Start(i, 1);
  }
  if (!opts.is_acquainted) {
    return;
  }
  for (host& to : hosts_) {
    for (const host& from : hosts_) {
      // Long ago, too: none of them has just started.
      to.roster->OnHeartbeat(now_ - std::chrono::seconds(30),
                             {.sender = from.record});
      to.roster->OnHeartbeat(now_, {.sender = from.record});
    }
    while (to.roster->TakeMemberUpdates(now_, {}).size() > 1) {
    }
  }
}

std::string peer_table_simulation::NameOf(size_t number) {
  return "host-" + std::to_string(number);
}

endpoint peer_table_simulation::AddressOf(size_t number) {
  return {.address = "10.0." + std::to_string(number / 250) + "." +
                     std::to_string(number % 250),
          .port = 7};
}

void peer_table_simulation::Start(size_t number, uint64_t incarnation) {
  host& item = hosts_[number];
  item.record = {.name = NameOf(number),
                 .incarnation = incarnation,
                 .peer_address = AddressOf(number),
                 .caller_address = AddressOf(number),
                 .failure_domain = "domain-" + std::to_string(DomainOf(number)),
                 .is_ready = true};
  item.roster = std::make_unique<peer_table>(
      peer_table::options{.self_name = item.record.name,
                          .self_incarnation = incarnation,
                          .self_address = item.record.peer_address,
                          .self_domain = item.record.failure_domain,
                          .seeds = {AddressOf(0), AddressOf(1), AddressOf(2)}});
  std::vector<daemon_entry> listed;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    listed.push_back({.name = NameOf(i), .peer_address = AddressOf(i)});
  }
  item.roster->SetListed(listed);
  // It serves from now on.
  item.roster->IncrementSelfVersion();
  item.record.version = item.roster->self_version();
  item.is_up = true;
  const duration interval = peer_table::kHeartbeatInterval;
  rounds_.emplace(now_ + interval * (random_() % 1000) / 1000, number);
}

void peer_table_simulation::Restart(size_t host) {
  Start(host, hosts_[host].record.incarnation + 1);
}

void peer_table_simulation::IncrementSelfVersion(size_t host, bool is_leaving) {
  hosts_[host].record.is_leaving = is_leaving;
  hosts_[host].roster->IncrementSelfVersion();
}

duration peer_table_simulation::Delay() {
  std::uniform_real_distribution<double> chance(0, 1);
  duration delay =
      milliseconds(1) + std::chrono::microseconds(random_() % 3000);
  // Lost packets are sent again after a time that doubles.
  duration again = milliseconds(200);
  while (options_.loss > 0 && chance(random_) < options_.loss) {
    delay += again;
    again *= 2;
  }
  return delay;
}

void peer_table_simulation::Send(size_t from, const endpoint& address) {
  const auto found = by_address_.find(address);
  if (found == by_address_.end()) {
    return;
  }
  const size_t to = found->second;
  host& sender = hosts_[from];
  heartbeat_frame beat{
      .sender = sender.record,
      .recent_peers = sender.roster->SampleAlive(now_),
      .is_watched = sender.roster->IsWatcher(address),
      .members = sender.roster->TakeMemberUpdates(now_, address)};
  beat.sender.version = sender.roster->self_version();
  ++beats_;
  member_news_ += beat.members.size();
  most_news_ = std::max(most_news_, beat.members.size());
  if (is_cut_ && is_cut_(from, to)) {
    return;
  }
  time_point& busy = busy_until_[{from, to}];
  busy = std::max(busy, now_ + Delay());
  deliveries_.emplace(busy,
                      delivery{.from = from,
                               .to = to,
                               .incarnation = hosts_[to].record.incarnation,
                               .beat = std::move(beat)});
}

void peer_table_simulation::BeginRound(size_t number) {
  host& item = hosts_[number];
  if (!item.is_up) {
    return;
  }
  rounds_.emplace(now_ + peer_table::kHeartbeatInterval, number);
  if (item.is_frozen) {
    return;
  }
  for (const endpoint& to : item.roster->ChooseTargets(now_)) {
    Send(number, to);
  }
  // A daemon looks at all peers that often, too, while some come or go.
  if (++item.rounds % 4 == 0) {
    item.roster->TakeChanged(now_);
  }
}

void peer_table_simulation::Run(duration span) {
  const time_point end = now_ + span;
  while (true) {
    const auto round = rounds_.begin();
    const auto beat = deliveries_.begin();
    const bool has_round = round != rounds_.end() && round->first <= end;
    const bool has_beat = beat != deliveries_.end() && beat->first <= end;
    if (!has_round && !has_beat) {
      break;
    }
    if (!has_beat || (has_round && round->first <= beat->first)) {
      now_ = round->first;
      const size_t number = round->second;
      rounds_.erase(round);
      BeginRound(number);
      continue;
    }
    now_ = beat->first;
    const delivery item = std::move(beat->second);
    deliveries_.erase(beat);
    host& to = hosts_[item.to];
    if (!to.is_up || to.record.incarnation != item.incarnation) {
      continue;
    }
    if (to.is_frozen) {
      deliveries_.emplace(now_ + milliseconds(20), item);
      continue;
    }
    to.roster->OnHeartbeat(now_, item.beat);
    if (to.roster->MustNotifySuspected(item.beat.sender.peer_address) &&
        to.roster->TryReserveReply(now_, item.beat.sender.peer_address)) {
      Send(item.to, item.beat.sender.peer_address);
    }
  }
  now_ = end;
}

bool peer_table_simulation::Sees(size_t number, size_t other) const {
  return hosts_[number].roster->IsAlive(now_, hosts_[other].record.name);
}

size_t peer_table_simulation::CountMissing(size_t other) const {
  size_t count = 0;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    count += i != other && hosts_[i].is_up && !Sees(i, other) ? 1 : 0;
  }
  return count;
}

size_t peer_table_simulation::CountUnseen() const {
  size_t count = 0;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    count += hosts_[i].is_up ? CountMissing(i) : 0;
  }
  return count;
}

size_t peer_table_simulation::CountLeavingKnown(size_t other) const {
  size_t count = 0;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    const daemon_record* known =
        hosts_[i].roster->Find(hosts_[other].record.name);
    count += known != nullptr && known->is_leaving ? 1 : 0;
  }
  return count;
}

}  // namespace cuminswitch
