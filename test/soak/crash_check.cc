#include "soak/crash_check.h"

namespace cuminswitch::soak {

/// Time from the third crash until all daemons must have the quarantine update.
/// Includes the delay with which upstream logs are read.
static constexpr std::chrono::milliseconds kCrashPropagationTime{3'200};
/// Crashes per request that are allowed before the quarantine, and once more
/// after `kCrashPropagationTime`.
static constexpr int kCrashesAllowed = 3;

std::optional<std::string> crash_check::OnCrash(const std::string& request,
                                                bool is_daemon_undisturbed,
                                                steady_time at) {
  ++counted_;
  crash_count& count = crashes_[request];
  if (++count.crashes == kCrashesAllowed) {
    count.third_at = at;
  }
  if (count.crashes <= kCrashesAllowed || !is_daemon_undisturbed ||
      at < count.third_at + kCrashPropagationTime ||
      ++count.late <= kCrashesAllowed) {
    return std::nullopt;
  }
  return std::to_string(count.crashes) + " upstreams crashed under " + request;
}

}  // namespace cuminswitch::soak
