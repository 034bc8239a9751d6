#include "cuminswitch/Edge/upstream_verifier.h"

#include <algorithm>
#include <utility>

#include "cuminswitch/Edge/response_probe.h"
#include "cuminswitch/Http1/upstream_pool.h"
#include "cuminswitch/Support/hash.h"
#include "cuminswitch/Support/rendezvous.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

static constexpr ptrdiff_t kVerifiersPerDomain = 2;

upstream_verifier::upstream_verifier(upstream_pool& pool,
                                     const edge_protocol& protocol,
                                     response_handler on_response)
    : pool_(pool), protocol_(protocol), on_response_(std::move(on_response)) {}

upstream_verifier::~upstream_verifier() = default;

void upstream_verifier::Start(time_point now,
                              uint64_t upstream,
                              const upstream_entry& entry) {
  http_headers headers = protocol_.WriteProbe(entry.id);
  headers.push_back({.name = "Host", .value = entry.address.ToString()});
  probes_.push_back(
      {.sent = now,
       .probe = std::make_unique<response_probe>(
           pool_,
           upstream_request{.to = entry.address,
                            .method = "GET",
                            .target = protocol_.ProbeTarget(),
                            .headers = std::move(headers),
                            .connect_timeout = response_probe::kTimeout},
           [this, now, upstream](std::optional<uint32_t> status) {
             if (status) {
               on_response_(upstream, now,
                            *status == status_code::kMisdirected);
             }
           })});
}

void upstream_verifier::OnTick(time_point now) {
  probes_.remove_if([now](const running_probe& item) {
    return now - item.sent >= response_probe::kTimeout;
  });
}

bool VerifiesCrash(const daemon_record& self,
                   std::span<const daemon_record> peers,
                   uint64_t upstream) {
  const uint64_t own = RendezvousWeight(upstream, Hash64(self.name));
  const auto before =
      std::count_if(peers.begin(), peers.end(), [&](const daemon_record& peer) {
        return peer.failure_domain == self.failure_domain && peer.is_ready &&
               RendezvousWeight(upstream, Hash64(peer.name)) > own;
      });
  return before < kVerifiersPerDomain;
}

}  // namespace cuminswitch
