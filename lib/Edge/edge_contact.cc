// Tracks whether this daemon reaches any upstream.
#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cuminswitch/Edge/edge_task.h"
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Kernel/kernel.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

std::string_view edge_task::ServiceAt(const endpoint& address) const {
  const auto found = upstreams_by_address_.find(address);
  return found == upstreams_by_address_.end() ? std::string_view()
                                              : found->second->service;
}

contact_monitor* edge_task::FindContact(std::string_view service) {
  const auto found = service_contacts_.find(service);
  return found == service_contacts_.end() ? nullptr : found->second.get();
}

contact_monitor& edge_task::ContactOf(std::string_view service) {
  std::unique_ptr<contact_monitor>& item =
      service_contacts_[std::string(service)];
  if (item == nullptr) {
    item = std::make_unique<contact_monitor>(
        base(), pool_, Hash64(service, Hash64(options_.self.name)),
        [this] { UpdateContact(); });
  }
  return *item;
}

void edge_task::OnConnectionLost(const request_flow& flow) {
  pool_.Forget(flow.address());
  const time_point now = ReadBootClock();
  const upstream_contact::failure seen{
      .upstream = flow.address(),
      .on_new_connection = flow.is_on_new_connection()};
  contact_.contact().OnFailure(now, seen);
  if (const auto service = ServiceAt(flow.address()); !service.empty()) {
    ContactOf(service).contact().OnFailure(now, seen);
  }
  UpdateContact();
}

void edge_task::OnAttemptStalled(const request_flow& flow) {
  pool_.Forget(flow.address());
  OnUpstreamSilent(flow);
}

void edge_task::OnUpstreamSilent(const request_flow& flow) {
  const time_point now = ReadBootClock();
  contact_.contact().OnSilence(now, flow.address(), flow.sent_at());
  if (const auto service = ServiceAt(flow.address()); !service.empty()) {
    ContactOf(service).contact().OnSilence(now, flow.address(), flow.sent_at());
  }
  UpdateContact();
}

static request_quarantine::contact ToQuarantineContact(
    upstream_contact::state value) {
  switch (value) {
    case upstream_contact::state::kReached:
      return request_quarantine::contact::kReached;
    case upstream_contact::state::kInDoubt:
      return request_quarantine::contact::kInDoubt;
    case upstream_contact::state::kLost:
      return request_quarantine::contact::kLost;
  }
  return request_quarantine::contact::kReached;
}

void edge_task::LogContact(std::string_view service,
                           const upstream_contact& contact) {
  const bool is_lost = contact.current() == upstream_contact::state::kLost;
  log_line line(is_lost ? "upstreams_unreachable" : "upstreams_reachable");
  if (!service.empty()) {
    line.Add("service", service);
  }
  line.Add("failed", contact.failed().size())
      .Add("known", upstreams_by_address_.size())
      .Add("doubted_ms", ReadBootClock() - contact.doubted_since());
  with_.log.Write(log_class::kLifecycle, line);
}

void edge_task::UpdateLostServices() {
  std::set<std::string, std::less<>> lost;
  for (const auto& [service, monitor] : service_contacts_) {
    if (monitor->IsLost()) {
      lost.insert(service);
    }
    if (monitor->IsLost() != lost_services_.contains(service)) {
      LogContact(service, monitor->contact());
    }
  }
  if (lost != lost_services_) {
    lost_services_ = std::move(lost);
    ReportReadiness();
  }
}

void edge_task::UpdateContact() {
  const time_point now = ReadBootClock();
  const upstream_contact& contact = contact_.contact();
  router_.quarantine().SetContact(now, ToQuarantineContact(contact.current()));
  if (contact_.IsLost() != has_lost_upstreams_) {
    has_lost_upstreams_ = contact_.IsLost();
    LogContact({}, contact);
    ReportReadiness();
  }
  UpdateLostServices();
  const bool reaches_any = contact_.IsSettled();
  const bool is_due =
      reaches_any
          ? std::any_of(service_contacts_.begin(), service_contacts_.end(),
                        [now](const auto& item) {
                          return item.second->IsProbeDue(now);
                        })
          : contact_.IsProbeDue(now);
  if (!is_due) {
    return;
  }
  std::vector<upstream_ref> upstreams;
  std::map<std::string_view, std::vector<upstream_ref>> by_service;
  for (const auto& [address, upstream] : upstreams_by_address_) {
    upstreams.push_back(upstream);
    by_service[upstream->service].push_back(upstream);
  }
  const std::string target = with_.protocol.ProbeTarget();
  if (!reaches_any) {
    // Probes at all services say more than those at one.
    contact_.ProbeIfDue(now, upstreams, target);
    return;
  }
  for (const auto& [service, monitor] : service_contacts_) {
    monitor->ProbeIfDue(now, by_service[service], target);
  }
}

void edge_task::ReportReadiness() {
  if (!HasConfig()) {
    return;
  }
  readiness_changed change{.is_ready = !has_lost_upstreams_};
  for (const std::string& service : lost_services_) {
    change.lost_services.push_back(Hash64(service));
  }
  services_.FindPort<fleet_message>(kFleetService).Post(std::move(change));
}

bool edge_task::HasLost(std::string_view service) const {
  return has_lost_upstreams_ || lost_services_.contains(service);
}

}  // namespace cuminswitch
