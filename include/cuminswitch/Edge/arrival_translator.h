/// \file
/// Translates a caller's request into the router's and the quota's terms.
#ifndef CUMINSWITCH_EDGE_ARRIVAL_TRANSLATOR_H_
#define CUMINSWITCH_EDGE_ARRIVAL_TRANSLATOR_H_

#include <span>
#include <string_view>
#include <vector>

#include "cuminswitch/Edge/quota_admission.h"
#include "cuminswitch/Edge/request_flow.h"
#include "cuminswitch/Protocol/core_event.h"

namespace cuminswitch {

class caller_exchange;
struct prompt_part;
struct workspace_config;

/// Returns a digest of the request that is the same each time its caller
/// repeats it: of method, host, target and body. \p workspace is part of the
/// digest, so that requests of two workspaces never share one.
hash128 DigestRequest(const caller_exchange& exchange,
                      std::string_view workspace);
/// Returns a digest of each part of the prompt except the last, for \p service.
std::vector<hash128> DigestParts(std::span<const prompt_part> parts,
                                 std::string_view service);
/// Returns the service of \p route that \p request goes to.
const std::string& ServiceFor(const route_spec& route,
                              const caller_request& request);
/// Returns the router's name of \p service, which serves \p model if its
/// upstreams are engines.
std::string TargetOf(const routing_config& config,
                     std::string_view service,
                     std::string_view model);
/// Returns the router's event for the request of \p flow.
request_arrived DescribeArrival(const request_flow::options& flow);
/// Returns the quota query for the request of \p flow, whose workspace has
/// \p quota.
quota_admission::admission_query DescribeQuotaQuery(time_point now,
                                                    const request_flow& flow,
                                                    const quota_config& quota,
                                                    request_arrived arrival);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_ARRIVAL_TRANSLATOR_H_
