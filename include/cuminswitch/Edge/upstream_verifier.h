/// \file
/// Verifies which upstreams run at the addresses of their entries.
#ifndef CUMINSWITCH_EDGE_UPSTREAM_VERIFIER_H_
#define CUMINSWITCH_EDGE_UPSTREAM_VERIFIER_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <span>

#include "cuminswitch/Edge/edge_protocol.h"
#include "cuminswitch/Fleet/fleet_snapshot.h"
#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

class upstream_pool;
class response_probe;

/// Probes upstreams that are said to have crashed, or whose address another
/// entry claims, each with the condition that it is still this one.
class upstream_verifier {
 public:
  /// The process at the address of \p upstream responded to a probe sent at
  /// \p sent. \p is_other: as another process than that upstream.
  using response_handler =
      std::function<void(uint64_t upstream, time_point sent, bool is_other)>;

  upstream_verifier(upstream_pool& pool,
                    const edge_protocol& protocol,
                    response_handler on_response);
  upstream_verifier(const upstream_verifier&) = delete;
  upstream_verifier& operator=(const upstream_verifier&) = delete;
  ~upstream_verifier();

  /// Probes \p entry, whose start is identified by \p upstream.
  void Start(time_point now, uint64_t upstream, const upstream_entry& entry);
  /// Ends the probes that have timed out.
  void OnTick(time_point now);
  bool IsIdle() const { return probes_.empty(); }

 private:
  struct running_probe {
    time_point sent{};
    std::unique_ptr<response_probe> probe;
  };

  upstream_pool& pool_;
  const edge_protocol& protocol_;
  response_handler on_response_;
  std::list<running_probe> probes_;
};

/// Whether the daemon \p self is to probe \p upstream: two daemons of each
/// failure domain are, since the links of a whole domain may fail.
bool VerifiesCrash(const daemon_record& self,
                   std::span<const daemon_record> peers,
                   uint64_t upstream);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_UPSTREAM_VERIFIER_H_
