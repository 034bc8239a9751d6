// Upstreams at whose addresses other processes may run.
#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Protocol/crash_report.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

uint64_t edge_task::StartOf(const upstream_entry& entry) {
  return UpstreamStartId(Hash64(entry.id), entry.started);
}

const upstream_entry* edge_task::FindStart(uint64_t start) const {
  for (const auto& [address, entry] : upstreams_by_address_) {
    if (StartOf(*entry) == start) {
      return entry.get();
    }
  }
  return nullptr;
}

void edge_task::ReportMismatch(const upstream_entry& entry) {
  // An upstream also rejects requests for weights that it does not have. One
  // that has responded as itself is where its entry says.
  if (!confirmed_upstreams_.contains(entry.id)) {
    services_.FindPort<fleet_message>(kFleetService)
        .Post(upstream_refuted{.upstream = entry.id, .started = entry.started});
  }
}

void edge_task::VerifyClaims(time_point now) {
  for (const uint64_t start : claims_.TakeDue(now)) {
    const upstream_entry* entry = FindStart(start);
    if (entry == nullptr || confirmed_upstreams_.contains(entry->id)) {
      claims_.Remove(start);
      continue;
    }
    with_.log.Write(log_class::kStateChange,
                    log_line("claim_verification").Add("upstream", entry->id));
    verifier_.Start(now, start, *entry);
  }
}

void edge_task::OnProbed(uint64_t upstream, time_point sent, bool is_other) {
  const upstream_entry* entry = FindStart(upstream);
  if (!is_other) {
    router_.quarantine().OnUpstreamResponse(upstream, sent);
    claims_.Remove(upstream);
    if (entry != nullptr) {
      confirmed_upstreams_.insert(entry->id);
    }
  } else if (entry != nullptr) {
    ReportMismatch(*entry);
  }
}

}  // namespace cuminswitch
