/// \file
/// The log lines of one request's life.
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
struct dispatch_attempt;
struct flow_result;
struct quota_decision;
struct quota_request;

/// Where an attempt goes, and what decided that.
log_line DescribePlacement(time_point now,
                           const request_flow& flow,
                           const dispatch_attempt& action);
/// That an attempt ended otherwise than with success.
log_line DescribeAttemptFailure(const request_flow& flow,
                                attempt_result answer,
                                uint32_t status);
/// How a request ended for its caller; of a refusal for lateness, from what it
/// was decided.
log_line DescribeEnd(time_point now,
                     const request_flow& flow,
                     const flow_result& end);
/// That a request is over its workspace's quota, and what that was decided
/// from.
log_line DescribeQuotaRefusal(const request_flow& flow,
                              const quota_request& item,
                              const quota_decision& decision);

/// Whether an upstream that names a limit takes a request now, and what that
/// was decided from.
log_line DescribePermit(const request_flow& flow,
                        std::string_view upstream,
                        const upstream_limit_admission::permit_result& decided);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_REQUEST_LOG_H_
