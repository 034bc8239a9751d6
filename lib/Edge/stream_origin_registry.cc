#include "cuminswitch/Edge/stream_origin_registry.h"

#include <algorithm>
#include <tuple>

#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/rendezvous.h"

namespace cuminswitch {

/// Number of peers that know the origin of a stream besides its own daemon.
/// Many daemons may be killed at once.
static constexpr size_t kCopies = 4;
/// Number of peers that are asked for an origin. Daemons that have just seen
/// others fail or start choose different ones.
static constexpr size_t kMaxAsked = 12;
/// Time after which a peer that has not replied counts as not knowing the
/// origin.
static constexpr duration kReplyTimeout = std::chrono::milliseconds(250);
/// Time after its start in which a daemon may not know all peers yet.
static constexpr duration kWarmUpTime = std::chrono::seconds(1);

std::string_view ToString(origin_source source) {
  switch (source) {
    case origin_source::kSelf:
      return "own";
    case origin_source::kPeer:
      return "peer";
    case origin_source::kNone:
      return "none";
    case origin_source::kNoReply:
      return "no_reply";
  }
  return {};
}

void stream_origin_registry::SetPeers(time_point now,
                                      std::span<const daemon_record> alive) {
  peers_.clear();
  for (const daemon_record& item : alive) {
    if (item.tracks_streams) {
      const endpoint& address = item.peer_address;
      peers_.push_back({.address = address,
                        .address_hash = Hash64(address.address, address.port),
                        .incarnation = item.incarnation,
                        .domain_hash = Hash64(item.failure_domain)});
    }
  }
  for (auto& [request, item] : active_) {
    Inform(now, item);
  }
  for (auto& [ticket, item] : searches_) {
    Ask(ticket, item);
  }
}

std::vector<const stream_origin_registry::peer*> stream_origin_registry::Choose(
    uint64_t stream,
    size_t count) const {
  struct candidate {
    /// How many peers of the same failure domain come before it.
    size_t rank = 0;
    uint64_t weight = 0;
    const peer* chosen = nullptr;
  };
  std::vector<candidate> candidates;
  candidates.reserve(peers_.size());
  for (const peer& item : peers_) {
    candidates.push_back({.weight = RendezvousWeight(stream, item.address_hash),
                          .chosen = &item});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const candidate& a, const candidate& b) {
              return a.weight > b.weight;
            });
  std::unordered_map<uint64_t, size_t> ranks;
  for (candidate& item : candidates) {
    item.rank = ranks[item.chosen->domain_hash]++;
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const candidate& a, const candidate& b) { return a.rank < b.rank; });
  candidates.resize(std::min(count, candidates.size()));
  std::vector<const peer*> chosen;
  chosen.reserve(candidates.size());
  for (const candidate& item : candidates) {
    chosen.push_back(item.chosen);
  }
  return chosen;
}

std::vector<stream_origin> stream_origin_registry::ListActive(
    time_point now) const {
  std::vector<stream_origin> origins;
  for (const auto& [request, item] : active_) {
    stream_origin origin = item.origin;
    origin.time_left -= now - item.recorded_at;
    if (origin.time_left > duration(0)) {
      origins.push_back(origin);
    }
  }
  return origins;
}

void stream_origin_registry::Inform(time_point now, active_stream& item) {
  stream_origin origin = item.origin;
  origin.time_left -= now - item.recorded_at;
  if (origin.time_left <= duration(0)) {
    return;
  }
  for (const peer* to : Choose(origin.stream, kCopies)) {
    const uint64_t key = CombineHash(to->address_hash, to->incarnation);
    if (std::find(item.informed.begin(), item.informed.end(), key) ==
        item.informed.end()) {
      item.informed.push_back(key);
      messages_.push_back(
          {.to = to->address, .message = origin_report{.origins = {origin}}});
    }
  }
}

void stream_origin_registry::OnDispatch(time_point now,
                                        request_id request,
                                        const stream_origin& origin) {
  table_.RecordOwn(now, origin);
  active_stream& item = active_[request];
  if (item.origin.software != origin.software) {
    item = {.origin = origin, .recorded_at = now, .informed = {}};
  }
  Inform(now, item);
}

void stream_origin_registry::Find(time_point now,
                                  request_id request,
                                  uint64_t stream) {
  search item{
      .request = request, .stream = stream, .deadline = now + kReplyTimeout};
  // Before its first event, the stream may have gone to a later upstream of
  // another version, which only other daemons were told.
  const bool is_final = table_.IsFinal(stream) || peers_.empty();
  if (const auto known = table_.Find(now, stream); known && is_final) {
    EndSearch(now, item, origin_source::kSelf);
    return;
  }
  const uint64_t ticket = next_ticket_++;
  Ask(ticket, searches_[ticket] = std::move(item));
}

void stream_origin_registry::Ask(uint64_t ticket, search& item) {
  for (const peer* to : Choose(item.stream, kMaxAsked)) {
    if (std::find(item.asked.begin(), item.asked.end(), to->address_hash) ==
        item.asked.end()) {
      item.asked.push_back(to->address_hash);
      ++item.awaited;
      messages_.push_back(
          {.to = to->address,
           .message = origin_query{
               .from = self_, .ticket = ticket, .stream = item.stream}});
    }
  }
}

void stream_origin_registry::OnReport(time_point now,
                                      const origin_report& report) {
  for (const stream_origin& item : report.origins) {
    table_.Record(now, item);
  }
}

void stream_origin_registry::OnQuery(time_point now,
                                     const origin_query& query) {
  messages_.push_back(
      {.to = query.from,
       .message = origin_reply{.ticket = query.ticket,
                               .origin = table_.Find(now, query.stream)}});
}

void stream_origin_registry::OnReply(time_point now,
                                     const origin_reply& reply) {
  const auto found = searches_.find(reply.ticket);
  if (found == searches_.end()) {
    return;
  }
  search& item = found->second;
  if (reply.origin) {
    table_.Record(now, *reply.origin);
    EndSearch(now, item, origin_source::kPeer);
  } else if (--item.awaited == 0 && now - started_ >= kWarmUpTime) {
    EndSearch(now, item, origin_source::kNone);
  } else {
    return;
  }
  searches_.erase(found);
}

void stream_origin_registry::EndSearch(time_point now,
                                       const search& item,
                                       origin_source source) {
  // A report that was sent before its daemon ended may arrive after the search
  // began, and nobody else may know the stream.
  const auto known = table_.Find(now, item.stream);
  const bool was_told = source == origin_source::kPeer;
  found_.push_back(
      {.request = item.request,
       .stream = item.stream,
       .software = known ? std::optional(known->software) : std::nullopt,
       .source = known && !was_told ? origin_source::kSelf : source,
       .asked = item.asked.size()});
}

void stream_origin_registry::OnTick(time_point now) {
  table_.Expire(now);
  // Tickets increase with time, and all searches last equally long.
  while (!searches_.empty() && now >= searches_.begin()->second.deadline) {
    const search& overdue = searches_.begin()->second;
    EndSearch(
        now, overdue,
        overdue.awaited == 0 ? origin_source::kNone : origin_source::kNoReply);
    searches_.erase(searches_.begin());
  }
}

}  // namespace cuminswitch
