#include "cuminswitch/Edge/upstream_contact.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// How long a doubt waits for the response to a request before it costs probes.
static constexpr duration kProbeDelay = std::chrono::milliseconds(50);
static constexpr duration kProbeInterval = std::chrono::milliseconds(250);

void upstream_contact::OnResponse(time_point sent, bool on_new_connection) {
  responded_sent_ = std::max(responded_sent_, sent);
  if (state_ == state::kReached || sent < doubted_since_ ||
      (needs_new_connection_ && !on_new_connection)) {
    return;
  }
  state_ = state::kReached;
  needs_new_connection_ = false;
  failed_.clear();
}

void upstream_contact::OnFailure(time_point now, const failure& seen) {
  CastDoubt(now, seen);
}

void upstream_contact::OnSilence(time_point now,
                                 const endpoint& upstream,
                                 time_point sent) {
  if (responded_sent_ < sent) {
    CastDoubt(now, {.upstream = upstream});
  }
}

void upstream_contact::CastDoubt(time_point now, const failure& seen) {
  failed_.insert(seen.upstream);
  needs_new_connection_ = needs_new_connection_ || seen.on_new_connection;
  if (state_ == state::kReached) {
    state_ = state::kInDoubt;
    doubted_since_ = now;
    next_probes_ = std::max(next_probes_, now + kProbeDelay);
    ++doubt_count_;
  }
}

bool upstream_contact::NeedsProbes(time_point now) const {
  return state_ != state::kReached && now >= next_probes_;
}

void upstream_contact::OnProbesSent(time_point now) {
  next_probes_ = now + kProbeInterval;
}

void upstream_contact::OnProbesFailed(time_point sent) {
  if (state_ == state::kInDoubt && sent >= doubted_since_) {
    state_ = state::kLost;
  }
}

std::vector<endpoint> ChooseProbeTargets(
    std::span<const upstream_ref> upstreams,
    const std::set<endpoint>& failed,
    size_t count,
    uint64_t seed) {
  struct candidate {
    bool has_failed = false;
    /// How many upstreams of the same service come before it.
    size_t rank = 0;
    uint64_t order = 0;
    const upstream_entry* upstream = nullptr;
  };
  std::vector<candidate> candidates;
  for (const upstream_ref& item : upstreams) {
    candidates.push_back({.has_failed = failed.contains(item->address),
                          .order = Hash64(item->id, seed),
                          .upstream = item.get()});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const candidate& a, const candidate& b) {
              return std::tie(a.has_failed, a.order) <
                     std::tie(b.has_failed, b.order);
            });
  std::map<std::string_view, size_t> ranks;
  for (candidate& item : candidates) {
    item.rank = ranks[item.upstream->service]++;
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const candidate& a, const candidate& b) {
                     return std::tie(a.has_failed, a.rank) <
                            std::tie(b.has_failed, b.rank);
                   });
  std::vector<endpoint> chosen;
  for (size_t i = 0; i < std::min(count, candidates.size()); ++i) {
    chosen.push_back(candidates[i].upstream->address);
  }
  return chosen;
}

}  // namespace cuminswitch
