#include "soak/credential_check.h"

#include <algorithm>
#include <chrono>

namespace cuminswitch::soak {

/// Returns the time from \p begin to \p end in text form.
static std::string FormatSpan(steady_time begin, steady_time end) {
  const auto span =
      std::chrono::duration_cast<std::chrono::microseconds>(end - begin);
  return std::to_string(span.count()) + " us";
}

void credential_check::OnConfigurationSent(const sent_configuration& item) {
  configurations_.try_emplace(item.version, item);
}

void credential_check::OnConfigurationAcknowledged(uint64_t version,
                                                   steady_time at) {
  if (const auto found = configurations_.find(version);
      found != configurations_.end()) {
    found->second.acknowledged_at = at;
  }
}

bool credential_check::WasRevokedDuring(
    const credential_rejection& item) const {
  return std::any_of(configurations_.begin(), configurations_.end(),
                     [&](const auto& entry) {
                       const sent_configuration& config = entry.second;
                       return !config.credentials.contains(item.credential) &&
                              item.sent_at <= config.sent_at &&
                              config.sent_at < item.rejected_at;
                     });
}

std::string credential_check::Describe(const credential_rejection& item) const {
  std::string text = item.id + " with " + item.credential + " got 401 after " +
                     FormatSpan(item.sent_at, item.rejected_at) +
                     "; relative to its sending:";
  for (const auto& [version, config] : configurations_) {
    text += " configuration " + std::to_string(version) +
            (config.credentials.contains(item.credential) ? " with it"
                                                          : " without it") +
            " sent at " + FormatSpan(item.sent_at, config.sent_at);
    text += config.acknowledged_at
                ? ", acknowledged at " +
                      FormatSpan(item.sent_at, *config.acknowledged_at) + ";"
                : ", not acknowledged;";
  }
  text.pop_back();
  return text;
}

std::optional<std::string> credential_check::OnRejected(
    const credential_rejection& item) {
  if (WasRevokedDuring(item)) {
    ++allowed_;
    return std::nullopt;
  }
  return Describe(item);
}

}  // namespace cuminswitch::soak
