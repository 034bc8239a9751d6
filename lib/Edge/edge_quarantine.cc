// Reports requests that crash upstreams to the peers, the store and the log.
#include <utility>
#include <vector>

#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

static std::string_view EventName(quarantine_event::kind what) {
  switch (what) {
    case quarantine_event::kind::kSuspected:
      return "crash_suspected";
    case quarantine_event::kind::kQuarantined:
      return "request_quarantined";
    case quarantine_event::kind::kCleared:
      return "crash_cleared";
  }
  return {};
}

static std::string_view ToString(crash_source source) {
  switch (source) {
    case crash_source::kOwn:
      return "own";
    case crash_source::kPeer:
      return "peer";
    case crash_source::kStore:
      return "store";
  }
  return {};
}

void edge_task::Handle(const peer_quarantine& item) {
  router_.quarantine().OnUpdate(ReadBootClock(), item.update);
  LogQuarantines();
}

void edge_task::VerifyCrashes(time_point now) {
  verifier_.OnTick(now);
  const std::vector<uint64_t> unverified =
      router_.quarantine().TakeUnverified(now);
  for (const uint64_t upstream : unverified) {
    if (!VerifiesCrash(options_.self, peers_, upstream)) {
      continue;
    }
    if (const upstream_entry* entry = FindStart(upstream)) {
      with_.log.Write(
          log_class::kStateChange,
          log_line("crash_verification").Add("upstream", entry->id));
      verifier_.Start(now, upstream, *entry);
    }
  }
}

void edge_task::ReportQuarantine(time_point now) {
  LogQuarantines();
  request_quarantine& quarantine = router_.quarantine();
  own_quarantine own{.update = quarantine.TakeUpdate(now),
                     .active_crashes = quarantine.ListActiveCrashes(now),
                     .quarantined = quarantine.ListOwn(now),
                     .at = now};
  // An empty list is posted once, so that the fleet task stops sending the
  // previous one.
  const bool has_active = !own.active_crashes.empty();
  if (!own.update.IsEmpty() || has_active || reported_crashes_) {
    reported_crashes_ = has_active;
    services_.FindPort<fleet_message>(kFleetService).Post(std::move(own));
  }
}

void edge_task::LogQuarantines() {
  for (const quarantine_event& item : router_.quarantine().TakeEvents()) {
    with_.log.Write(
        log_class::kStateChange,
        log_line(EventName(item.what))
            .Add("digest", ToHex(item.request))
            .Add("of", IsPartDigest(item.request) ? "part" : "request")
            .Add("crashes", item.crashes)
            .Add("from", ToString(item.source)));
  }
}

}  // namespace cuminswitch
