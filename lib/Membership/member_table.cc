#include "cuminswitch/Membership/member_table.h"

#include <algorithm>
#include <bit>

#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {

/// Member updates piggybacked on one heartbeat.
static constexpr size_t kMaxUpdatesPerHeartbeat = 6;
/// Members asked to probe a target after a direct probe timed out.
static constexpr size_t kIndirectProbeCount = 2;
/// Every this many probes, one is also sent to a seed or a dead member, so
/// that the two sides of a healed network partition find each other again.
static constexpr uint64_t kSeedProbeInterval = 8;
/// Bound on the relayed probes with pending replies; the oldest is dropped.
static constexpr size_t kMaxRelayedProbes = 64;

member_table::member_table(const options& opts)
    : options_(opts), self_(opts.self), random_(opts.random_seed) {}

void member_table::SetShards(std::vector<shard_number> shards) {
  if (shards == self_.shards) {
    return;
  }
  self_.shards = std::move(shards);
  ++self_.version;
  ++change_count_;
  QueueUpdate(self_.host);
}

void member_table::Leave(action_list& out) {
  self_.status = member_status::kLeaving;
  ++self_.version;
  ++change_count_;
  QueueUpdate(self_.host);
  for (const auto& [host, item] : others_) {
    if (item.info.status != member_status::kDead) {
      out.push_back(
          send_peer{.to = item.info.peer_address,
                    .message = MakeHeartbeat(next_sequence_++, false)});
    }
  }
}

void member_table::QueueUpdate(const std::string& host) {
  const auto is_same_host = [&](const queued_update& item) {
    return item.host == host;
  };
  std::erase_if(update_queue_, is_same_host);
  // Enough sends for an update to reach every member with high probability,
  // while the cost stays logarithmic in the number of members.
  const uint32_t sends = 3 * std::bit_width(others_.size() + 1);
  update_queue_.push_back({.host = host, .sends_left = sends});
}

void member_table::ChangeStatus(time_point now,
                                entry& item,
                                member_status status) {
  item.info.status = status;
  item.status_since = now;
  ++change_count_;
  QueueUpdate(item.info.host);
}

void member_table::RefuteIfNeeded(const member& update) {
  const bool is_about_self = update.incarnation == self_.incarnation;
  if (!is_about_self || update.version < self_.version ||
      update.status == self_.status) {
    return;
  }
  // Other members consider this daemon suspect or dead. Unless it refutes
  // this, it is left out of address responses while it is serving.
  self_.version = update.version + 1;
  QueueUpdate(self_.host);
}

void member_table::ApplyUpdate(time_point now, const member& update) {
  if (update.host == self_.host) {
    RefuteIfNeeded(update);
    return;
  }
  const auto found = others_.find(update.host);
  if (found == others_.end()) {
    if (update.status == member_status::kDead) {
      return;
    }
    others_[update.host] = {
        .info = update, .status_since = now, .host_hash = Hash64(update.host)};
    ++change_count_;
    QueueUpdate(update.host);
    return;
  }
  if (!update.Supersedes(found->second.info)) {
    return;
  }
  found->second.info = update;
  ChangeStatus(now, found->second, update.status);
}

heartbeat member_table::MakeHeartbeat(uint64_t sequence, bool is_reply) {
  heartbeat message{.sequence = sequence,
                    .is_reply = is_reply,
                    .sender = self_,
                    .updates = {},
                    .generation = generation_,
                    .usage = usage_};
  std::stable_sort(
      update_queue_.begin(), update_queue_.end(),
      [](const auto& a, const auto& b) { return a.sends_left > b.sends_left; });
  for (queued_update& item : update_queue_) {
    if (message.updates.size() == kMaxUpdatesPerHeartbeat) {
      break;
    }
    --item.sends_left;
    if (const auto found = others_.find(item.host); found != others_.end()) {
      message.updates.push_back(found->second.info);
    }
  }
  std::erase_if(update_queue_,
                [](const queued_update& item) { return item.sends_left == 0; });
  return message;
}

void member_table::OnHeartbeat(time_point now,
                               const heartbeat& message,
                               action_list& out) {
  const member* known = Find(message.sender.host);
  const bool is_suspected = known != nullptr &&
                            known->incarnation == message.sender.incarnation &&
                            (known->status == member_status::kSuspect ||
                             known->status == member_status::kDead) &&
                            known->version >= message.sender.version;
  ApplyUpdate(now, message.sender);
  for (const member& update : message.updates) {
    ApplyUpdate(now, update);
  }
  std::erase_if(probes_, [&](const probe& item) {
    return item.host == message.sender.host;
  });
  if (message.is_reply) {
    SendProbeReply(message, out);
    return;
  }
  heartbeat reply = MakeHeartbeat(message.sequence, true);
  if (is_suspected) {
    // The sender can only refute a suspicion that it has received.
    reply.updates.push_back(others_.find(message.sender.host)->second.info);
  }
  out.push_back(send_peer{.to = message.sender.peer_address,
                          .message = std::move(reply)});
}

void member_table::OnProbeRequest(const probe_request& message,
                                  action_list& out) {
  const uint64_t sequence = next_sequence_++;
  relayed_probes_.push_back({.sequence = sequence,
                             .reply_to = message.reply_to,
                             .requested_sequence = message.sequence});
  if (relayed_probes_.size() > kMaxRelayedProbes) {
    relayed_probes_.erase(relayed_probes_.begin());
  }
  out.push_back(send_peer{.to = message.target,
                          .message = MakeHeartbeat(sequence, false)});
}

void member_table::OnProbeReply(time_point now, const probe_reply& message) {
  ApplyUpdate(now, message.target);
  std::erase_if(probes_, [&](const probe& item) {
    return item.host == message.target.host;
  });
}

void member_table::SendProbeReply(const heartbeat& reply, action_list& out) {
  const auto is_requested = [&](const relayed_probe& item) {
    return item.sequence == reply.sequence;
  };
  const auto found = std::find_if(relayed_probes_.begin(),
                                  relayed_probes_.end(), is_requested);
  if (found == relayed_probes_.end()) {
    return;
  }
  out.push_back(
      send_peer{.to = found->reply_to,
                .message = probe_reply{.sequence = found->requested_sequence,
                                       .target = reply.sender}});
  relayed_probes_.erase(found);
}

void member_table::OnHostList(std::span<const listed_host> hosts) {
  host_list_seeds_.clear();
  for (const listed_host& listed : hosts) {
    if (listed.host != self_.host && Find(listed.host) == nullptr &&
        !listed.leaving) {
      host_list_seeds_.push_back(listed.peer_address);
    }
  }
}

void member_table::RequestIndirectProbes(probe& pending, action_list& out) {
  const entry& target = others_.find(pending.host)->second;
  std::vector<const entry*> proxies;
  for (const auto& [host, item] : others_) {
    if (host != pending.host && item.info.status == member_status::kAlive) {
      proxies.push_back(&item);
    }
  }
  std::shuffle(proxies.begin(), proxies.end(), random_);
  proxies.resize(std::min(proxies.size(), kIndirectProbeCount));
  for (const entry* proxy : proxies) {
    out.push_back(send_peer{
        .to = proxy->info.peer_address,
        .message = probe_request{.sequence = pending.sequence,
                                 .reply_to = self_.peer_address,
                                 .target = target.info.peer_address}});
  }
}

void member_table::ExpireProbes(time_point now, action_list& out) {
  std::vector<probe> still_pending;
  for (probe& item : probes_) {
    const auto found = others_.find(item.host);
    if (found == others_.end()) {
      continue;
    }
    if (item.deadline > now) {
      still_pending.push_back(item);
      continue;
    }
    if (!item.indirect) {
      RequestIndirectProbes(item, out);
      item.indirect = true;
      item.deadline = now + options_.probe_timeout;
      still_pending.push_back(item);
      continue;
    }
    if (found->second.info.status == member_status::kAlive) {
      ChangeStatus(now, found->second, member_status::kSuspect);
    }
  }
  probes_ = std::move(still_pending);
}

void member_table::ExpireMembers(time_point now) {
  for (auto& [host, item] : others_) {
    if (item.info.status == member_status::kSuspect &&
        now - item.status_since >= options_.suspicion_timeout) {
      ChangeStatus(now, item, member_status::kDead);
    }
  }
  std::erase_if(others_, [&](const auto& pair) {
    const entry& item = pair.second;
    return (item.info.status == member_status::kDead ||
            item.info.status == member_status::kLeaving) &&
           now - item.status_since >= options_.dead_member_retention;
  });
}

std::optional<std::string> member_table::PickProbeTarget() {
  while (true) {
    if (probe_ring_.empty()) {
      for (const auto& [host, item] : others_) {
        if (item.info.IsServing()) {
          probe_ring_.push_back(host);
        }
      }
      std::shuffle(probe_ring_.begin(), probe_ring_.end(), random_);
    }
    if (probe_ring_.empty()) {
      return std::nullopt;
    }
    std::string host = std::move(probe_ring_.back());
    probe_ring_.pop_back();
    if (const member* found = Find(host);
        found != nullptr && found->IsServing()) {
      return host;
    }
  }
}

void member_table::ProbeSeeds(action_list& out) {
  std::vector<endpoint> targets = host_list_seeds_;
  targets.insert(targets.end(), options_.seeds.begin(), options_.seeds.end());
  std::erase(targets, self_.peer_address);
  for (const auto& [host, item] : others_) {
    if (item.info.status == member_status::kDead) {
      targets.push_back(item.info.peer_address);
    } else {
      std::erase(targets, item.info.peer_address);
    }
  }
  std::shuffle(targets.begin(), targets.end(), random_);
  const size_t count = others_.empty() ? targets.size() : 1;
  for (size_t i = 0; i < std::min(count, targets.size()); ++i) {
    out.push_back(send_peer{.to = targets[i],
                            .message = MakeHeartbeat(next_sequence_++, false)});
  }
}

void member_table::SendProbe(time_point now, action_list& out) {
  if (others_.empty() || probe_count_++ % kSeedProbeInterval == 0) {
    ProbeSeeds(out);
  }
  const std::optional<std::string> host = PickProbeTarget();
  if (!host) {
    return;
  }
  const uint64_t sequence = next_sequence_++;
  out.push_back(send_peer{.to = others_.find(*host)->second.info.peer_address,
                          .message = MakeHeartbeat(sequence, false)});
  const auto pending = [&](const probe& item) { return item.host == *host; };
  if (std::none_of(probes_.begin(), probes_.end(), pending)) {
    probes_.push_back({.host = *host,
                       .sequence = sequence,
                       .deadline = now + options_.probe_timeout});
  }
}

void member_table::OnTick(time_point now, action_list& out) {
  if (now - last_tick_ > options_.pause_threshold) {
    // This process was paused, so pending probes say nothing about their
    // targets. Expiring them would make a resumed daemon declare every member
    // dead.
    probes_.clear();
    for (auto& [host, item] : others_) {
      item.status_since = now;
    }
  }
  last_tick_ = now;
  ExpireProbes(now, out);
  ExpireMembers(now);
  if (now >= next_probe_) {
    SendProbe(now, out);
    next_probe_ = now + options_.probe_period;
  }
}

std::vector<member> member_table::ListMembers() const {
  std::vector<member> result{self_};
  for (const auto& [host, item] : others_) {
    if (item.info.status != member_status::kDead) {
      result.push_back(item.info);
    }
  }
  std::sort(result.begin(), result.end(),
            [](const member& a, const member& b) { return a.host < b.host; });
  return result;
}

const member* member_table::Find(std::string_view host) const {
  const auto found = others_.find(host);
  return found == others_.end() ? nullptr : &found->second.info;
}

const member* member_table::FindOwner(shard_number shard) const {
  const auto owns = [shard](const member& item) {
    return std::find(item.shards.begin(), item.shards.end(), shard) !=
           item.shards.end();
  };
  if (owns(self_)) {
    return &self_;
  }
  for (const auto& [host, item] : others_) {
    if (item.info.status != member_status::kDead && owns(item.info)) {
      return &item.info;
    }
  }
  return nullptr;
}

bool member_table::IsAmongFirst(uint64_t key,
                                size_t ranks,
                                member_scope scope) const {
  const uint64_t self_weight = RendezvousWeight(key, Hash64(self_.host));
  size_t higher_ranked = 0;
  for (const auto& [host, item] : others_) {
    const bool is_candidate =
        item.info.IsServing() &&
        (scope == member_scope::kAll ||
         item.info.failure_domain == self_.failure_domain);
    if (is_candidate && RendezvousWeight(key, item.host_hash) > self_weight) {
      ++higher_ranked;
    }
  }
  return higher_ranked < ranks;
}

size_t member_table::CountServing() const {
  const auto is_serving = [](const auto& pair) {
    return pair.second.info.IsServing();
  };
  return 1 + static_cast<size_t>(
                 std::count_if(others_.begin(), others_.end(), is_serving));
}

}  // namespace cuminswitch
