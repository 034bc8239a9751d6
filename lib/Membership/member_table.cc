#include "cuminswitch/Membership/member_table.h"

#include <algorithm>
#include <bit>

#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {

static constexpr size_t kUpdatesPerHeartbeat = 6;
static constexpr size_t kIndirectProbes = 2;
/// One probe in so many goes to a seed or a dead member, so that the two
/// sides of a healed cut find each other again.
static constexpr uint64_t kSeedProbeInterval = 8;
/// Probes for others whose replies are still awaited; the oldest is dropped.
static constexpr size_t kMaxRelays = 64;

member_table::member_table(const options& opts)
    : options_(opts), self_(opts.self), random_(opts.random_seed) {}

void member_table::SetShards(std::vector<shard_number> shards) {
  if (shards == self_.shards) {
    return;
  }
  self_.shards = std::move(shards);
  ++self_.version;
  ++change_count_;
  Spread(self_.host);
}

void member_table::Leave(action_list& out) {
  self_.status = member_status::kLeaving;
  ++self_.version;
  ++change_count_;
  Spread(self_.host);
  for (const auto& [host, item] : others_) {
    if (item.info.status != member_status::kDead) {
      out.push_back(
          send_peer{.to = item.info.peer_address,
                    .message = MakeHeartbeat(next_sequence_++, false)});
    }
  }
}

void member_table::Spread(const std::string& host) {
  const auto same = [&](const news& item) { return item.host == host; };
  std::erase_if(news_, same);
  // Enough sends that news reaches everybody with high probability while the
  // cost stays logarithmic in the number of members.
  const uint32_t sends = 3 * std::bit_width(others_.size() + 1);
  news_.push_back({.host = host, .sends_left = sends});
}

void member_table::ChangeStatus(time_point now,
                                entry& item,
                                member_status status) {
  item.info.status = status;
  item.since = now;
  ++change_count_;
  Spread(item.info.host);
}

void member_table::RefuteIfNeeded(const member& statement) {
  const bool about_me = statement.incarnation == self_.incarnation;
  if (!about_me || statement.version < self_.version ||
      statement.status == self_.status) {
    return;
  }
  // Others believe that this daemon is suspect or dead. Unrefuted, it would
  // drop out of the address answers while it serves.
  self_.version = statement.version + 1;
  Spread(self_.host);
}

void member_table::Learn(time_point now, const member& statement) {
  if (statement.host == self_.host) {
    RefuteIfNeeded(statement);
    return;
  }
  const auto found = others_.find(statement.host);
  if (found == others_.end()) {
    if (statement.status == member_status::kDead) {
      return;
    }
    others_[statement.host] = {
        .info = statement, .since = now, .host_hash = Hash64(statement.host)};
    ++change_count_;
    Spread(statement.host);
    return;
  }
  if (!statement.Supersedes(found->second.info)) {
    return;
  }
  found->second.info = statement;
  ChangeStatus(now, found->second, statement.status);
}

heartbeat member_table::MakeHeartbeat(uint64_t sequence, bool is_reply) {
  heartbeat message{.sequence = sequence,
                    .is_reply = is_reply,
                    .sender = self_,
                    .updates = {},
                    .generation = generation_,
                    .usage = usage_};
  std::stable_sort(
      news_.begin(), news_.end(),
      [](const auto& a, const auto& b) { return a.sends_left > b.sends_left; });
  for (news& item : news_) {
    if (message.updates.size() == kUpdatesPerHeartbeat) {
      break;
    }
    --item.sends_left;
    if (const auto found = others_.find(item.host); found != others_.end()) {
      message.updates.push_back(found->second.info);
    }
  }
  std::erase_if(news_, [](const news& item) { return item.sends_left == 0; });
  return message;
}

void member_table::OnHeartbeat(time_point now,
                               const heartbeat& message,
                               action_list& out) {
  const member* known = Find(message.sender.host);
  const bool doubted = known != nullptr &&
                       known->incarnation == message.sender.incarnation &&
                       (known->status == member_status::kSuspect ||
                        known->status == member_status::kDead) &&
                       known->version >= message.sender.version;
  Learn(now, message.sender);
  for (const member& statement : message.updates) {
    Learn(now, statement);
  }
  std::erase_if(probes_, [&](const probe& item) {
    return item.host == message.sender.host;
  });
  if (message.is_reply) {
    AnswerRelay(message, out);
    return;
  }
  heartbeat reply = MakeHeartbeat(message.sequence, true);
  if (doubted) {
    // The sender cannot refute what it has not been told.
    reply.updates.push_back(others_.find(message.sender.host)->second.info);
  }
  out.push_back(send_peer{.to = message.sender.peer_address,
                          .message = std::move(reply)});
}

void member_table::OnProbeRequest(const probe_request& message,
                                  action_list& out) {
  const uint64_t sequence = next_sequence_++;
  relays_.push_back({.sequence = sequence,
                     .reply_to = message.reply_to,
                     .asked_sequence = message.sequence});
  if (relays_.size() > kMaxRelays) {
    relays_.erase(relays_.begin());
  }
  out.push_back(send_peer{.to = message.target,
                          .message = MakeHeartbeat(sequence, false)});
}

void member_table::OnProbeReply(time_point now, const probe_reply& message) {
  Learn(now, message.target);
  std::erase_if(probes_, [&](const probe& item) {
    return item.host == message.target.host;
  });
}

void member_table::AnswerRelay(const heartbeat& reply, action_list& out) {
  const auto asked = [&](const relay& item) {
    return item.sequence == reply.sequence;
  };
  const auto found = std::find_if(relays_.begin(), relays_.end(), asked);
  if (found == relays_.end()) {
    return;
  }
  out.push_back(
      send_peer{.to = found->reply_to,
                .message = probe_reply{.sequence = found->asked_sequence,
                                       .target = reply.sender}});
  relays_.erase(found);
}

void member_table::OnHostList(std::span<const listed_host> hosts) {
  extra_seeds_.clear();
  for (const listed_host& listed : hosts) {
    if (listed.host != self_.host && Find(listed.host) == nullptr &&
        !listed.leaving) {
      extra_seeds_.push_back(listed.peer_address);
    }
  }
}

void member_table::AskOthersToProbe(probe& pending, action_list& out) {
  const entry& target = others_.find(pending.host)->second;
  std::vector<const entry*> helpers;
  for (const auto& [host, item] : others_) {
    if (host != pending.host && item.info.status == member_status::kAlive) {
      helpers.push_back(&item);
    }
  }
  std::shuffle(helpers.begin(), helpers.end(), random_);
  helpers.resize(std::min(helpers.size(), kIndirectProbes));
  for (const entry* helper : helpers) {
    out.push_back(send_peer{
        .to = helper->info.peer_address,
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
      AskOthersToProbe(item, out);
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
        now - item.since >= options_.suspicion_timeout) {
      ChangeStatus(now, item, member_status::kDead);
    }
  }
  std::erase_if(others_, [&](const auto& pair) {
    const entry& item = pair.second;
    return (item.info.status == member_status::kDead ||
            item.info.status == member_status::kLeaving) &&
           now - item.since >= options_.forget_after;
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
  std::vector<endpoint> targets = extra_seeds_;
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
    // This daemon was frozen: unanswered probes say nothing about others.
    // Counting them would make a thawed daemon declare everybody dead.
    probes_.clear();
    for (auto& [host, item] : others_) {
      item.since = now;
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
  const uint64_t mine = RendezvousWeight(key, Hash64(self_.host));
  size_t ahead = 0;
  for (const auto& [host, item] : others_) {
    const bool counts = item.info.IsServing() &&
                        (scope == member_scope::kAll ||
                         item.info.failure_domain == self_.failure_domain);
    if (counts && RendezvousWeight(key, item.host_hash) > mine) {
      ++ahead;
    }
  }
  return ahead < ranks;
}

size_t member_table::CountServing() const {
  const auto serves = [](const auto& pair) {
    return pair.second.info.IsServing();
  };
  return 1 + static_cast<size_t>(
                 std::count_if(others_.begin(), others_.end(), serves));
}

}  // namespace cuminswitch
