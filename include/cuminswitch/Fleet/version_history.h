/// \file
/// When versions of weights were superseded.
#ifndef CUMINSWITCH_FLEET_VERSION_HISTORY_H_
#define CUMINSWITCH_FLEET_VERSION_HISTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Fleet/fleet_snapshot.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Remembers when versions of weights were published.
class version_history {
 public:
  /// Records the versions in \p wanted that are new as published at \p at.
  void OnPublished(time_point at, std::span<const weights_version> wanted);
  /// Returns when the first version after \p version was published: the time
  /// for which \p version may still be used counts from there, however many
  /// versions followed. Empty if \p version is the newest.
  std::optional<time_point> SupersededAt(std::string_view model,
                                         uint64_t version) const;

 private:
  struct publication {
    uint64_t version = 0;
    time_point at{};
  };

  /// In increasing order of versions, by model.
  std::map<std::string, std::vector<publication>, std::less<>> publications_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_VERSION_HISTORY_H_
