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
      // A heartbeat 30 s ago, so that no host counts as just started.
      to.table->OnHeartbeat(now_ - std::chrono::seconds(30),
                            {.sender = from.record});
      to.table->OnHeartbeat(now_, {.sender = from.record});
    }
    while (to.table->TakeMemberUpdates(now_, {}).size() > 1) {
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
  item.table = std::make_unique<peer_table>(
      peer_table::options{.self_name = item.record.name,
                          .self_incarnation = incarnation,
                          .self_address = item.record.peer_address,
                          .self_domain = item.record.failure_domain,
                          .seeds = {AddressOf(0), AddressOf(1), AddressOf(2)}});
  std::vector<daemon_entry> listed;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    listed.push_back({.name = NameOf(i), .peer_address = AddressOf(i)});
  }
  item.table->SetListed(listed);
  // The host serves callers from now on.
  item.table->IncrementSelfVersion();
  item.record.version = item.table->self_version();
  item.is_up = true;
  const duration interval = peer_table::kHeartbeatInterval;
  rounds_.emplace(now_ + interval * (random_() % 1000) / 1000, number);
}

void peer_table_simulation::Restart(size_t host) {
  Start(host, hosts_[host].record.incarnation + 1);
}

void peer_table_simulation::IncrementSelfVersion(size_t host, bool is_leaving) {
  hosts_[host].record.is_leaving = is_leaving;
  hosts_[host].table->IncrementSelfVersion();
}

duration peer_table_simulation::NextDelay() {
  std::uniform_real_distribution<double> chance(0, 1);
  duration delay =
      milliseconds(1) + std::chrono::microseconds(random_() % 3000);
  // A lost packet is sent again after a time-out that doubles each time.
  duration retransmission = milliseconds(200);
  while (options_.loss > 0 && chance(random_) < options_.loss) {
    delay += retransmission;
    retransmission *= 2;
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
  heartbeat_frame heartbeat{
      .sender = sender.record,
      .recent_peers = sender.table->SampleAlive(now_),
      .is_watched = sender.table->IsWatcher(address),
      .members = sender.table->TakeMemberUpdates(now_, address)};
  heartbeat.sender.version = sender.table->self_version();
  ++heartbeat_count_;
  member_update_count_ += heartbeat.members.size();
  max_updates_per_heartbeat_ =
      std::max(max_updates_per_heartbeat_, heartbeat.members.size());
  if (is_partitioned_ && is_partitioned_(from, to)) {
    return;
  }
  time_point& busy = busy_until_[{from, to}];
  busy = std::max(busy, now_ + NextDelay());
  deliveries_.emplace(busy,
                      delivery{.from = from,
                               .to = to,
                               .incarnation = hosts_[to].record.incarnation,
                               .heartbeat = std::move(heartbeat)});
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
  for (const endpoint& to : item.table->ChooseTargets(now_)) {
    Send(number, to);
  }
  // A daemon, too, calls this every few rounds while peers change.
  if (++item.rounds % 4 == 0) {
    item.table->TakeChanged(now_);
  }
}

void peer_table_simulation::Run(duration span) {
  const time_point end = now_ + span;
  while (true) {
    const auto round = rounds_.begin();
    const auto heartbeat = deliveries_.begin();
    const bool has_round = round != rounds_.end() && round->first <= end;
    const bool has_heartbeat =
        heartbeat != deliveries_.end() && heartbeat->first <= end;
    if (!has_round && !has_heartbeat) {
      break;
    }
    if (!has_heartbeat || (has_round && round->first <= heartbeat->first)) {
      now_ = round->first;
      const size_t number = round->second;
      rounds_.erase(round);
      BeginRound(number);
      continue;
    }
    now_ = heartbeat->first;
    const delivery item = std::move(heartbeat->second);
    deliveries_.erase(heartbeat);
    host& to = hosts_[item.to];
    if (!to.is_up || to.record.incarnation != item.incarnation) {
      continue;
    }
    if (to.is_frozen) {
      deliveries_.emplace(now_ + milliseconds(20), item);
      continue;
    }
    to.table->OnHeartbeat(now_, item.heartbeat);
    if (to.table->MustNotifySuspected(item.heartbeat.sender.peer_address) &&
        to.table->TryReserveReply(now_, item.heartbeat.sender.peer_address)) {
      Send(item.to, item.heartbeat.sender.peer_address);
    }
  }
  now_ = end;
}

bool peer_table_simulation::SeesAlive(size_t number, size_t other) const {
  return hosts_[number].table->IsAlive(now_, hosts_[other].record.name);
}

size_t peer_table_simulation::CountMissing(size_t other) const {
  size_t count = 0;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    count += i != other && hosts_[i].is_up && !SeesAlive(i, other) ? 1 : 0;
  }
  return count;
}

size_t peer_table_simulation::CountUnseenPairs() const {
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
        hosts_[i].table->Find(hosts_[other].record.name);
    count += known != nullptr && known->is_leaving ? 1 : 0;
  }
  return count;
}

}  // namespace cuminswitch
