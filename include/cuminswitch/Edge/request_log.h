/// \file
/// The log lines of one request.
#ifndef CUMINSWITCH_EDGE_REQUEST_LOG_H_
#define CUMINSWITCH_EDGE_REQUEST_LOG_H_

#include <cstdint>
#include <string_view>

#include "cuminswitch/Edge/attempt_disposition.h"
#include "cuminswitch/Edge/upstream_limit_admission.h"
#include "cuminswitch/Log/event_log.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

class request_flow;
struct caller_connection_end;
struct dispatch_attempt;
struct found_origin;
struct flow_result;
struct quota_decision;
struct quota_request;

/// Describes the placement of an attempt and the figures behind the choice.
log_line DescribePlacement(time_point now,
                           const request_flow& flow,
                           const dispatch_attempt& action);
/// Describes an attempt that ended without success.
log_line DescribeAttemptFailure(time_point now,
                                const request_flow& flow,
                                attempt_result result,
                                uint32_t status);
/// Describes how a request ended for its caller. For a refusal because the
/// response would be late, includes the estimate behind it.
log_line DescribeEnd(time_point now,
                     const request_flow& flow,
                     const flow_result& end);
/// Describes a caller's connection that was cut off.
log_line DescribeCut(const caller_connection_end& end);
/// Describes what is known of the stream that \p flow resumes; \p source says
/// from where its software version is known.
log_line DescribeResumption(const request_flow& flow,
                            const found_origin& found,
                            std::string_view source);
/// Describes the refusal of a request over its workspace's quota and the
/// figures behind the decision.
log_line DescribeQuotaRefusal(const request_flow& flow,
                              const quota_request& request,
                              const quota_decision& decision);

/// Describes whether a request got a permit for an upstream with a rate limit,
/// and the figures behind the decision.
log_line DescribePermit(const request_flow& flow,
                        std::string_view upstream,
                        const upstream_limit_admission::permit_result& decided);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_REQUEST_LOG_H_
