/// \file
/// Requests the load report of one upstream.
#ifndef CUMINSWITCH_DAEMON_UPSTREAM_PROBE_H_
#define CUMINSWITCH_DAEMON_UPSTREAM_PROBE_H_

#include <functional>
#include <memory>
#include <string>

#include "cuminswitch/Net/http_client.h"
#include "cuminswitch/Protocol/core_action.h"
#include "cuminswitch/Protocol/core_event.h"

namespace cuminswitch {

/// One probe in progress.
class upstream_probe : private http_call_handler {
 public:
  using callback = std::function<void(upstream_probe&, upstream_report)>;

  /// \p on_done is called once; it may destroy the probe.
  upstream_probe(const probe_upstream& action,
                 http_client& client,
                 callback on_done);
  ~upstream_probe() override;

 private:
  void OnHeaders(const http_response_head& head) override;
  void OnData(std::string_view data) override;
  void OnEnd(http_result result) override;

  std::string upstream_;
  callback on_done_;
  uint32_t status_ = 0;
  std::string body_;
  std::unique_ptr<http_call> call_;
};

/// Parses a load report. An upstream with a malformed report is marked
/// unreachable.
upstream_report ParseUpstreamReport(std::string_view upstream,
                                    std::string_view body);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_DAEMON_UPSTREAM_PROBE_H_
