#include "soak/departure_check.h"

namespace cuminswitch::soak {

/// Time after the store's acknowledgement during which requests may still
/// arrive.
static constexpr std::chrono::milliseconds kDrainTime{2'000};

void departure_check::OnAcknowledged(const std::string& upstream,
                                     steady_time at) {
  acknowledged_[upstream] = at;
}

std::optional<std::string> departure_check::OnArrival(
    const std::string& upstream,
    steady_time at,
    bool has_store_contact) {
  const auto found = acknowledged_.find(upstream);
  if (found == acknowledged_.end() || at <= found->second + kDrainTime) {
    return std::nullopt;
  }
  ++late_;
  if (!has_store_contact) {
    return std::nullopt;
  }
  const auto after =
      std::chrono::duration_cast<std::chrono::milliseconds>(at - found->second);
  return upstream + " got a request " + std::to_string(after.count()) +
         " ms after its departure was acknowledged";
}

}  // namespace cuminswitch::soak
