#include "cuminswitch/ConfigSync/config_sync.h"

#include <algorithm>

#include "cuminswitch/Config/document.h"
#include "cuminswitch/Membership/member_table.h"
#include "cuminswitch/Records/record_error.h"
#include "cuminswitch/Support/digest.h"
#include "cuminswitch/Support/findings_error.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

static constexpr duration kMinBackoff = std::chrono::milliseconds(200);
static constexpr duration kMaxBackoff = std::chrono::seconds(3);
static constexpr duration kPeerRequestInterval = std::chrono::milliseconds(300);
/// Maximum concurrent chunk reads, so that one daemon's cold start uses only a
/// small share of the platform's request rate.
static constexpr size_t kMaxChunkReads = 8;
/// Keeps the choice of watchers independent of other uses of rendezvous
/// hashing.
static constexpr uint64_t kWatchHashSeed = 0xc0ffee;

config_sync::config_sync(const options& opts)
    : options_(opts), random_(opts.random_seed) {}

void config_sync::OnTick(time_point now,
                         const member_table& members,
                         action_list& out) {
  if (started_ == time_point::max()) {
    started_ = now;
    next_watch_ = now + options_.start_grace;
    options_.empty_grace += duration(static_cast<duration::rep>(
        random_() % static_cast<uint64_t>(options_.empty_grace.count())));
  }
  ReadMissingChunks(out);
  const uint64_t key =
      CombineHash(kWatchHashSeed, Hash64(options_.failure_domain));
  const bool is_watcher = members.IsAmongFirst(
      key, options_.watchers, member_scope::kSameFailureDomain);
  // A daemon without a configuration queries the platform once itself, in case
  // it cannot reach the watchers. It gives them time to read the configuration
  // first: when the whole fleet restarts, no daemon has one.
  const bool must_query_itself = generation_ == 0 && !has_queried_platform_ &&
                                 now >= started_ + options_.empty_grace;
  if (watching_ || now < next_watch_ || (!is_watcher && !must_query_itself)) {
    return;
  }
  watching_ = true;
  has_queried_platform_ = true;
  out.push_back(platform_call{
      .tag = {.owner = call_owner::kConfigurationHead, .serial = ++serial_},
      .operation = platform_operation::kWatch,
      .key = std::string(kConfigurationHeadKey),
      .value = {},
      .expected = head_revision_});
}

void config_sync::BackOff(time_point now) {
  backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
  const auto jitter = static_cast<duration::rep>(
      random_() % static_cast<uint64_t>(backoff_.count()));
  next_watch_ = now + backoff_ + duration(jitter);
}

void config_sync::OnHead(time_point now,
                         const platform_reply& reply,
                         action_list& out) {
  watching_ = false;
  if (reply.status == platform_status::kNoReply) {
    BackOff(now);
    return;
  }
  backoff_ = duration{0};
  next_watch_ = now;
  if (reply.status != platform_status::kOk ||
      reply.revision == head_revision_) {
    return;
  }
  head_revision_ = reply.revision;
  ConsiderHead(reply.value);
  ReadMissingChunks(out);
  AdoptIfComplete(out);
}

void config_sync::OnPlatformReply(time_point now,
                                  const platform_reply& reply,
                                  action_list& out) {
  if (reply.tag.owner == call_owner::kConfigurationHead) {
    OnHead(now, reply, out);
    return;
  }
  const auto found = reads_by_serial_.find(reply.tag.serial);
  if (found == reads_by_serial_.end()) {
    return;
  }
  const std::string hash = found->second;
  reads_by_serial_.erase(found);
  reading_.erase(hash);
  if (reply.status == platform_status::kOk) {
    StoreChunk(hash, reply.value);
  }
  AdoptIfComplete(out);
  if (reply.status == platform_status::kOk) {
    ReadMissingChunks(out);
  }
}

void config_sync::ReadMissingChunks(action_list& out) {
  if (!next_head_) {
    return;
  }
  for (const std::string& hash : next_head_->chunk_hashes) {
    if (reading_.size() >= kMaxChunkReads) {
      return;
    }
    if (chunks_.contains(hash) || !reading_.insert(hash).second) {
      continue;
    }
    reads_by_serial_[++serial_] = hash;
    out.push_back(platform_call{
        .tag = {.owner = call_owner::kConfigurationChunk, .serial = serial_},
        .operation = platform_operation::kRead,
        .key = ConfigurationChunkKey(hash),
        .value = {},
        .expected = 0});
  }
}

void config_sync::ConsiderHead(const std::string& head_bytes) {
  try {
    configuration_head head = DecodeConfigurationHead(head_bytes);
    const generation_number newest =
        next_head_ ? std::max(generation_, next_head_->generation)
                   : generation_;
    if (head.generation > newest) {
      next_head_ = std::move(head);
      next_head_bytes_ = head_bytes;
    }
  } catch (const record_error&) {
    ++rejected_;
  }
}

void config_sync::StoreChunk(const std::string& hash, const std::string& text) {
  if (Sha256Hex(text) != hash) {
    ++rejected_;
    return;
  }
  try {
    chunks_[hash] = {.text = text,
                     .fragment = std::make_shared<const configuration>(
                         ParseFragment(text, hash))};
  } catch (const findings_error&) {
    ++rejected_;
  }
}

void config_sync::AdoptIfComplete(action_list& out) {
  if (!next_head_) {
    return;
  }
  std::vector<const configuration*> fragments;
  for (const std::string& hash : next_head_->chunk_hashes) {
    const auto found = chunks_.find(hash);
    if (found == chunks_.end()) {
      return;
    }
    fragments.push_back(found->second.fragment.get());
  }
  config_ = std::make_shared<const configuration>(MergeFragments(fragments));
  generation_ = next_head_->generation;
  head_bytes_ = next_head_bytes_;
  const std::set<std::string> used(next_head_->chunk_hashes.begin(),
                                   next_head_->chunk_hashes.end());
  std::erase_if(chunks_,
                [&](const auto& pair) { return !used.contains(pair.first); });
  next_head_.reset();
  out.push_back(
      configuration_adopted{.generation = generation_, .config = config_});
}

void config_sync::OnPeerGeneration(time_point now,
                                   generation_number generation,
                                   const endpoint& peer,
                                   action_list& out) {
  if (generation <= generation_ || now < next_peer_request_) {
    return;
  }
  next_peer_request_ = now + kPeerRequestInterval;
  configuration_request request{.reply_to = options_.self, .held_chunks = {}};
  for (const auto& [hash, item] : chunks_) {
    request.held_chunks.push_back(hash);
  }
  out.push_back(send_peer{.to = peer, .message = std::move(request)});
}

void config_sync::OnRequest(const configuration_request& message,
                            action_list& out) const {
  if (generation_ == 0) {
    return;
  }
  configuration_reply reply{.head = head_bytes_, .chunks = {}};
  for (const auto& [hash, item] : chunks_) {
    const auto& held = message.held_chunks;
    if (std::find(held.begin(), held.end(), hash) == held.end()) {
      reply.chunks.push_back({.hash = hash, .text = item.text});
    }
  }
  out.push_back(send_peer{.to = message.reply_to, .message = std::move(reply)});
}

void config_sync::OnReply(time_point now,
                          const configuration_reply& message,
                          action_list& out) {
  next_peer_request_ = now;
  ConsiderHead(message.head);
  for (const configuration_chunk& item : message.chunks) {
    if (next_head_ && !chunks_.contains(item.hash)) {
      StoreChunk(item.hash, item.text);
    }
  }
  AdoptIfComplete(out);
}

}  // namespace cuminswitch
