#include "soak/crash_check.h"

namespace cuminswitch::soak {

/// Daemons know within this time of the third crash; logs are read with a lag.
static constexpr std::chrono::milliseconds kContactTime{3'200};
static constexpr int kCrashesAllowed = 3;

std::optional<std::string> crash_check::OnCrash(const std::string& request,
                                                bool is_daemon_sound,
                                                wall_time at) {
  ++counted_;
  crash_count& count = crashes_[request];
  if (++count.crashes == kCrashesAllowed) {
    count.third = at;
  }
  if (count.crashes <= kCrashesAllowed || !is_daemon_sound ||
      at < count.third + kContactTime || ++count.late <= kCrashesAllowed) {
    return std::nullopt;
  }
  return std::to_string(count.crashes) + " upstreams crashed under " + request;
}

}  // namespace cuminswitch::soak
