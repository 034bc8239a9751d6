/// \file
/// The HTTP status codes that the programs send or distinguish.
#ifndef CUMINSWITCH_SUPPORT_STATUS_CODE_H_
#define CUMINSWITCH_SUPPORT_STATUS_CODE_H_

#include <cstdint>

namespace cuminswitch::status_code {

inline constexpr uint32_t kSwitchingProtocols = 101;
inline constexpr uint32_t kOk = 200;
inline constexpr uint32_t kNoContent = 204;
inline constexpr uint32_t kNotModified = 304;
inline constexpr uint32_t kBadRequest = 400;
inline constexpr uint32_t kUnauthorized = 401;
inline constexpr uint32_t kForbidden = 403;
inline constexpr uint32_t kNotFound = 404;
inline constexpr uint32_t kRequestTimeout = 408;
inline constexpr uint32_t kConflict = 409;
inline constexpr uint32_t kGone = 410;
inline constexpr uint32_t kPreconditionFailed = 412;
inline constexpr uint32_t kPayloadTooLarge = 413;
inline constexpr uint32_t kMisdirected = 421;
inline constexpr uint32_t kTooManyRequests = 429;
inline constexpr uint32_t kHeadTooLarge = 431;
inline constexpr uint32_t kBadGateway = 502;
inline constexpr uint32_t kUnavailable = 503;
inline constexpr uint32_t kGatewayTimeout = 504;

}  // namespace cuminswitch::status_code

#endif  // CUMINSWITCH_SUPPORT_STATUS_CODE_H_
