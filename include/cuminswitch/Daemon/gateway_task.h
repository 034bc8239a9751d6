/// \file
/// The task that proxies requests from callers to upstreams.
#ifndef CUMINSWITCH_DAEMON_GATEWAY_TASK_H_
#define CUMINSWITCH_DAEMON_GATEWAY_TASK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "cuminswitch/Daemon/address_book.h"
#include "cuminswitch/Daemon/daemon_message.h"
#include "cuminswitch/Daemon/gateway_metrics.h"
#include "cuminswitch/Daemon/request_relay.h"
#include "cuminswitch/Daemon/upstream_probe.h"
#include "cuminswitch/Kernel/task.h"
#include "cuminswitch/Net/http_client.h"
#include "cuminswitch/Net/http_server.h"
#include "cuminswitch/Settings/daemon_settings.h"

namespace cuminswitch {

class kernel;
struct configuration;
struct workspace_spec;

/// Owns the connections from callers and to upstreams, checks credentials and
/// size limits, and executes the decision core's actions.
class gateway_task : public task<gateway_message>,
                     public http_request_handler,
                     public relay_observer {
 public:
  struct options {
    daemon_settings settings;
    /// Distinguishes this run of the daemon. Request ids begin at a multiple of
    /// it, so that they differ between runs.
    uint64_t incarnation = 0;
  };

  gateway_task(const kernel& services, options opts);
  ~gateway_task() override;

  std::string_view Name() const override { return kGatewayService; }

 protected:
  void OnStart() override;
  void OnStop() override;
  void Receive(gateway_message message) override;

 private:
  using exchange_ptr = std::shared_ptr<http_exchange>;

  // http_request_handler
  void OnRequest(exchange_ptr exchange) override;
  // relay_observer
  void OnRelayEvent(core_event event) override;
  void OnFirstToken(const request_relay& relay) override;
  void OnTokenGap(const request_relay& relay, double seconds) override;
  void OnRelayDone(request_relay& relay, outcome result) override;

  void Handle(const dispatch_attempt& action);
  void Handle(const cancel_attempt& action);
  void Handle(const local_response& action);
  void Handle(const probe_upstream& action);
  void Handle(const configuration_adopted& action);
  void Handle(const members_changed& action);
  void Handle(const status_reply& reply);

  void ServeAddresses(const exchange_ptr& exchange);
  void ServeReadiness(const exchange_ptr& exchange);
  void RequestStatus(const exchange_ptr& exchange);
  void BeginChat(const exchange_ptr& exchange);
  void BeginServiceCall(const exchange_ptr& exchange);
  void BeginRequest(const exchange_ptr& exchange,
                    request_arrived event,
                    request_relay::options relay);
  /// Returns the caller's workspace, or sends an error response and returns
  /// null.
  const workspace_spec* Authenticate(const exchange_ptr& exchange);
  /// Parses the idempotency headers into \p event. If they are malformed, sends
  /// an error response and returns false.
  bool ReadIdempotencyKey(const exchange_ptr& exchange,
                          request_arrived& event) const;
  bool IsOperator(const http_exchange& exchange) const;
  request_relay* FindRelay(request_id request);

  const kernel& services_;
  options options_;
  std::unique_ptr<http_client> client_;
  std::unique_ptr<http_server> server_;
  std::shared_ptr<const configuration> config_;
  /// Workspaces by the SHA-256 digest of their credential.
  std::unordered_map<std::string, const workspace_spec*> by_credential_;
  address_book addresses_;
  std::unordered_map<request_id, std::unique_ptr<request_relay>> relays_;
  std::unordered_map<attempt_id, request_id> relay_by_attempt_;
  std::map<upstream_probe*, std::unique_ptr<upstream_probe>> probes_;
  /// Requests waiting for a `status_reply`, by ticket.
  std::map<uint64_t, exchange_ptr> status_waiters_;
  uint64_t next_ticket_ = 1;
  request_id next_request_ = 0;
  gateway_metrics metrics_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_DAEMON_GATEWAY_TASK_H_
