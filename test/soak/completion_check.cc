#include "soak/completion_check.h"

namespace cuminswitch::soak {

using std::chrono::milliseconds;

/// Time from a daemon's start until it must lose no request.
static constexpr milliseconds kContactTime{3'000};
/// The end of the grace excuses only requests that are sent within this time
/// after the SIGTERM.
static constexpr milliseconds kLastArrival{3'000};

static std::string ToText(steady_time::duration span) {
  return std::to_string(
             std::chrono::duration_cast<milliseconds>(span).count()) +
         " ms";
}

bool completion_check::IsExcused(const daemon_history& daemon,
                                 const cut_request& item) const {
  const bool has_used_its_time =
      item.ended_at - item.sent_at >= item.time_allowed * 7 / 10;
  if (has_used_its_time || item.sent_at < daemon.started_at + kContactTime) {
    return true;
  }
  const auto stop = daemon.work.find("SIGTERM");
  return stop != daemon.work.end() &&
         item.sent_at <= stop->second + kLastArrival &&
         item.ended_at >= stop->second + grace_ * 5 / 6;
}

void completion_check::OnCut(const cut_request& item) {
  const daemon_history& daemon = daemons_[item.daemon];
  if (IsExcused(daemon, item)) {
    return;
  }
  std::string& text = cuts_[item.id];
  text = item.id + " was passed on by " + item.daemon.ToString() +
         " and got no complete response, after " +
         ToText(item.ended_at - item.sent_at) + " of " +
         ToText(item.time_allowed);
  for (const auto& [name, at] : daemon.work) {
    text += ", " + ToText(item.ended_at - at) + " after " + name;
  }
}

}  // namespace cuminswitch::soak
