#include "cuminswitch/Once/shard_manager.h"

#include "cuminswitch/Membership/member_table.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Keeps shard placement independent of other uses of rendezvous hashing.
static constexpr uint64_t kShardHashSeed = 0x5ca1ab1e;
static constexpr duration kClaimRetryInterval = std::chrono::milliseconds(700);
static constexpr duration kRebalanceInterval = std::chrono::seconds(2);

shard_manager::shard_manager(const options& opts)
    : options_(opts), random_(opts.random_seed) {
  const duration interval =
      FromSeconds(opts.shard_count / opts.fleet_writes_per_second);
  for (shard_number shard = 0; shard < opts.shard_count; ++shard) {
    slots_.push_back({.journal = shard_journal({.shard = shard,
                                                .host = opts.host,
                                                .incarnation = opts.incarnation,
                                                .retention = opts.retention,
                                                .write_interval = interval})});
  }
}

bool shard_manager::Owns(shard_number shard) const {
  return shard < slots_.size() && slots_[shard].journal.is_owned();
}

std::vector<shard_number> shard_manager::OwnedShards() const {
  std::vector<shard_number> owned;
  for (shard_number shard = 0; shard < options_.shard_count; ++shard) {
    const shard_journal::ownership state = slots_[shard].journal.state();
    if (state == shard_journal::ownership::kOwned ||
        state == shard_journal::ownership::kUncertain) {
      owned.push_back(shard);
    }
  }
  return owned;
}

uint64_t shard_manager::CountWrites() const {
  uint64_t writes = 0;
  for (const slot& item : slots_) {
    writes += item.journal.write_count();
  }
  return writes;
}

void shard_manager::ConsiderClaim(time_point now,
                                  const member_table& members,
                                  slot& item,
                                  shard_number shard,
                                  action_list& out) {
  const member* owner = members.FindOwner(shard);
  const bool owned_elsewhere =
      owner != nullptr && owner->host != options_.host && owner->IsServing();
  if (owned_elsewhere) {
    item.vacant_since = time_point::max();
    return;
  }
  if (item.vacant_since == time_point::max()) {
    item.vacant_since = now;
  }
  if (now - item.vacant_since < options_.claim_delay || now < item.next_claim) {
    return;
  }
  if (!members.IsAmongFirst(CombineHash(kShardHashSeed, shard), 1,
                            member_scope::kAll)) {
    return;
  }
  const auto jitter = static_cast<duration::rep>(
      random_() % static_cast<uint64_t>(kClaimRetryInterval.count()));
  item.next_claim = now + kClaimRetryInterval + duration(jitter);
  item.journal.Claim(out);
}

void shard_manager::Rebalance(time_point now,
                              uint64_t unix_now,
                              const member_table& members,
                              action_list& out) {
  if (now < next_rebalance_) {
    return;
  }
  next_rebalance_ = now + kRebalanceInterval;
  const size_t serving = members.CountServing();
  const size_t fair_share = (options_.shard_count + serving - 1) / serving;
  const std::vector<shard_number> owned = OwnedShards();
  // Releasing a shard loses its recorded responses, so a daemon does it only
  // when it owns more than twice its fair share, and one shard at a time.
  if (owned.size() <= 2 * fair_share) {
    return;
  }
  for (const shard_number shard : owned) {
    if (!members.IsAmongFirst(CombineHash(kShardHashSeed, shard), 1,
                              member_scope::kAll)) {
      slots_[shard].journal.Release(unix_now, out);
      return;
    }
  }
}

void shard_manager::OnTick(time_point now,
                           uint64_t unix_now,
                           const member_table& members,
                           action_list& out) {
  for (shard_number shard = 0; shard < options_.shard_count; ++shard) {
    slot& item = slots_[shard];
    item.journal.OnTick(now, unix_now, out);
    if (!leaving_ && item.journal.state() == shard_journal::ownership::kNone) {
      ConsiderClaim(now, members, item, shard, out);
    }
  }
  if (leaving_) {
    ReleaseAll(unix_now, out);
    return;
  }
  Rebalance(now, unix_now, members, out);
}

void shard_manager::ReleaseAll(uint64_t unix_now, action_list& out) {
  leaving_ = true;
  for (slot& item : slots_) {
    item.journal.Release(unix_now, out);
  }
}

void shard_manager::OnPlatformReply(time_point now,
                                    uint64_t unix_now,
                                    const platform_reply& reply,
                                    action_list& out) {
  if (reply.tag.shard < slots_.size()) {
    slots_[reply.tag.shard].journal.OnPlatformReply(now, unix_now, reply, out);
  }
}

void shard_manager::OnStart(time_point now,
                            uint64_t unix_now,
                            const start_request& request,
                            action_list& out) {
  if (request.shard < slots_.size()) {
    slots_[request.shard].journal.OnStart(now, unix_now, request, out);
  }
}

void shard_manager::OnFinish(const finish_report& report) {
  if (report.shard < slots_.size()) {
    slots_[report.shard].journal.OnFinish(report);
  }
}

void shard_manager::OnRelease(const release_report& report) {
  if (report.shard < slots_.size()) {
    slots_[report.shard].journal.OnRelease(report);
  }
}

}  // namespace cuminswitch
