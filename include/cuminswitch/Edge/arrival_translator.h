/// \file
/// A caller's request as the router is told of it.
#ifndef CUMINSWITCH_EDGE_ARRIVAL_TRANSLATOR_H_
#define CUMINSWITCH_EDGE_ARRIVAL_TRANSLATOR_H_

#include <string_view>

#include "cuminswitch/Edge/quota_admission.h"
#include "cuminswitch/Edge/request_flow.h"
#include "cuminswitch/Protocol/core_event.h"

namespace cuminswitch {

class caller_exchange;
struct workspace_config;

/// Returns a digest of what a caller of \p workspace sends again, and what is
/// the same however often it does. The workspace is part of it, so that no
/// workspace can have anything to do with another's requests.
hash128 DigestRequest(const caller_exchange& exchange,
                      std::string_view workspace);
/// Describes the request of \p flow; \p workspace is null where its route is
/// open to all.
request_arrived DescribeArrival(const request_flow::options& flow,
                                const workspace_config* workspace);
/// Describes the request of \p flow, whose workspace has \p quota.
quota_admission::admission_query DescribeQuotaQuestion(
    time_point now,
    const request_flow& flow,
    const quota_config& quota,
    request_arrived arrival);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_ARRIVAL_TRANSLATOR_H_
