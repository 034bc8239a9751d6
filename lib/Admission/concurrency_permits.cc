#include "cuminswitch/Admission/concurrency_permits.h"

#include <algorithm>

namespace cuminswitch {

/// Time without a reply after which an owner counts as unresponsive, and for
/// how long. A host that has used up its CPU quota is paused for the rest of a
/// 100 ms period.
static constexpr duration kReplyTimeout = std::chrono::milliseconds(250);
static constexpr duration kUnresponsiveTime = std::chrono::seconds(1);
/// How often a report is repeated, and by how much less often per daemon of the
/// fleet: an owner may get the reports of all of them.
static constexpr duration kReportInterval = std::chrono::milliseconds(100);
static constexpr duration kReportIntervalPerDaemon =
    std::chrono::milliseconds(2);
/// Parts of the capacity that owners grant while there may be another one.
static constexpr double kUnsettledShare = 0.5;
static constexpr double kNotFirstShare = 0.25;

concurrency_permits::concurrency_permits(const options& opts)
    : id_(opts.id),
      owners_(opts.self),
      owner_(opts.self, opts.id),
      report_interval_(kReportInterval) {}

void concurrency_permits::SetFleet(time_point now,
                                   const quota_fleet_view& fleet) {
  owners_.SetFleet(now, fleet);
  report_interval_ =
      kReportInterval +
      kReportIntervalPerDaemon * static_cast<int64_t>(owners_.daemon_count());
  std::vector<endpoint> alive(fleet.alive.begin(), fleet.alive.end());
  alive.insert(alive.end(), fleet.leaving.begin(), fleet.leaving.end());
  alive.push_back(owners_.self());
  owner_.SetAlive(alive);
  for (auto& [upstream, client] : clients_) {
    UpdateOwner(now, client);
  }
  Forward(now);
}

double concurrency_permits::Share(time_point now, uint64_t upstream) const {
  const double alive_share = owners_.MinAliveShare(now);
  if (owners_.IsPreceded(upstream)) {
    return kNotFirstShare * alive_share;
  }
  const duration settling_time =
      std::max(owner_selection::kWarmUpTime, owners_.convergence_time());
  const bool is_unsettled = owners_.HasTakenOver(now, upstream) ||
                            owners_.HasStartedWithin(now, settling_time);
  return is_unsettled ? kUnsettledShare * alive_share : alive_share;
}

void concurrency_permits::UpdateOwner(time_point now, client_state& client) {
  const endpoint owner = owners_.FindOwner(now, client.demand.upstream);
  if (owner == client.owner_address) {
    return;
  }
  client.owner_address = owner;
  client.owner = 0;
  client.granted = 0;
  client.unanswered_since.reset();
  changes_.push_back(
      {.upstream = client.demand.upstream, .is_new_owner = true});
  if (client.demand.held > 0 || client.demand.wanted > 0) {
    Report(now, client, true);
  }
}

void concurrency_permits::Report(time_point now,
                                 client_state& client,
                                 bool wants_reply) {
  client.known_held = client.demand.held;
  client.known_wanted = client.demand.wanted;
  client.known_rejected = client.demand.rejected;
  client.reported_at = now;
  const concurrency_report report{.from = owners_.self(),
                                  .requester = id_,
                                  .owner = client.owner,
                                  .granted = client.granted,
                                  .wants_reply = wants_reply,
                                  .demand = client.demand};
  if (client.owner_address == owners_.self()) {
    owner_.OnReport(now, report, Share(now, client.demand.upstream));
    return;
  }
  if (wants_reply && !client.unanswered_since) {
    client.unanswered_since = now;
  }
  messages_.push_back({.to = client.owner_address, .message = report});
}

void concurrency_permits::ReportIfChanged(time_point now,
                                          client_state& client) {
  const concurrency_demand& demand = client.demand;
  const bool is_first = client.owner == 0 && !client.unanswered_since;
  const bool is_active = demand.held > 0 || demand.wanted > 0;
  if (demand.held != client.known_held ||
      demand.wanted != client.known_wanted ||
      demand.rejected != client.known_rejected || (is_first && is_active)) {
    Report(now, client, client.owner == 0);
  }
}

void concurrency_permits::SetDemand(
    time_point now,
    std::span<const concurrency_demand> demands) {
  if (demands.empty() && clients_.empty()) {
    return;
  }
  std::unordered_map<uint64_t, client_state> previous =
      std::exchange(clients_, {});
  for (const concurrency_demand& demand : demands) {
    client_state& client = clients_[demand.upstream];
    if (auto known = previous.extract(demand.upstream)) {
      client = std::move(known.mapped());
    } else {
      client.owner_address = owners_.FindOwner(now, demand.upstream);
      client.known_rejected = demand.rejected;
    }
    client.demand = demand;
    ReportIfChanged(now, client);
  }
  Forward(now);
}

void concurrency_permits::OnReport(time_point now,
                                   const concurrency_report& report) {
  owner_.OnReport(now, report, Share(now, report.demand.upstream));
  Forward(now);
}

void concurrency_permits::OnGrant(time_point now,
                                  const concurrency_grant& grant) {
  const auto found = clients_.find(grant.upstream);
  if (found == clients_.end() || grant.from != found->second.owner_address) {
    return;
  }
  client_state& client = found->second;
  client.unanswered_since.reset();
  if (client.owner != grant.owner) {
    client.owner = grant.owner;
    client.granted = grant.granted;
    changes_.push_back(
        {.upstream = grant.upstream, .is_new_owner = true, .wait = grant.wait});
    Report(now, client, false);
    return;
  }
  const uint64_t granted =
      grant.granted > client.granted ? grant.granted - client.granted : 0;
  client.granted = std::max(client.granted, grant.granted);
  totals_.received += granted;
  client.known_held += static_cast<uint32_t>(granted);
  client.known_wanted -=
      std::min(client.known_wanted, static_cast<uint32_t>(granted));
  changes_.push_back({.upstream = grant.upstream,
                      .granted = static_cast<uint32_t>(granted),
                      .wait = grant.wait});
}

void concurrency_permits::Forward(time_point now) {
  for (std::vector<outgoing_concurrency_message> list = owner_.TakeMessages();
       !list.empty(); list = owner_.TakeMessages()) {
    for (outgoing_concurrency_message& item : list) {
      if (item.to == owners_.self()) {
        OnGrant(now, std::get<concurrency_grant>(item.message));
      } else {
        messages_.push_back(std::move(item));
      }
    }
  }
}

void concurrency_permits::OnTick(time_point now) {
  for (auto& [upstream, client] : clients_) {
    if (client.unanswered_since &&
        now - *client.unanswered_since > kReplyTimeout) {
      owners_.SkipUntil(client.owner_address, now + kUnresponsiveTime);
      ++totals_.unresponsive_owners;
    }
  }
  for (auto& [upstream, client] : clients_) {
    UpdateOwner(now, client);
    const bool is_active = client.demand.held > 0 || client.demand.wanted > 0;
    if (is_active && now - client.reported_at >= report_interval_) {
      Report(now, client, true);
    }
  }
  owner_.OnTick(now, [&](uint64_t upstream) { return Share(now, upstream); });
  Forward(now);
}

}  // namespace cuminswitch
