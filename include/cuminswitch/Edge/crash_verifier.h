/// \file
/// Verifies that upstreams whose connections were lost have crashed.
#ifndef CUMINSWITCH_EDGE_CRASH_VERIFIER_H_
#define CUMINSWITCH_EDGE_CRASH_VERIFIER_H_

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

/// Probes upstreams, each with the condition that it is still the one that is
/// said to have crashed.
class crash_verifier {
 public:
  /// \p upstream responded to a probe sent at \p sent.
  using response_handler =
      std::function<void(uint64_t upstream, time_point sent)>;

  crash_verifier(upstream_pool& pool,
                 const edge_protocol& protocol,
                 response_handler on_response);
  crash_verifier(const crash_verifier&) = delete;
  crash_verifier& operator=(const crash_verifier&) = delete;
  ~crash_verifier();

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

#endif  // CUMINSWITCH_EDGE_CRASH_VERIFIER_H_
