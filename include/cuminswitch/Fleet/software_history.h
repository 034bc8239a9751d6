/// \file
/// The software versions that the upstreams of each service have and had.
#ifndef CUMINSWITCH_FLEET_SOFTWARE_HISTORY_H_
#define CUMINSWITCH_FLEET_SOFTWARE_HISTORY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Protocol/stream_origin.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

struct upstream_change;

/// Tells whether a stream of a service can only have begun at one version.
class software_history {
 public:
  /// Records that an upstream with \p version came into use.
  void Add(std::string_view service, const std::string& version);
  /// Records that an upstream with \p version is no longer in use.
  void Remove(time_point now,
              std::string_view service,
              const std::string& version);
  /// Records a change of an upstream in use.
  void Apply(time_point now, const upstream_change& change);
  /// Sets the services that had several versions within `kMaxStreamTime`, as
  /// recorded in the store. It covers the time before this daemon started.
  void SetMixed(std::span<const std::string> services);

  /// Returns the only version of \p service that upstreams have or had within
  /// `kMaxStreamTime`; nothing if there are several or none.
  std::optional<software_tag> SoleVersion(time_point now,
                                          std::string_view service) const;
  /// Lists the services with several versions within `kMaxStreamTime`.
  std::vector<std::string> ListMixed(time_point now) const;
  /// Returns the service of the version \p tag; empty if no upstream has or had
  /// it.
  std::string_view ServiceOf(software_tag tag) const;
  /// Returns the version with \p tag; empty if no upstream has or had it.
  std::string_view NameOf(software_tag tag) const;
  /// Forgets versions that have not been in use for `kMaxStreamTime`.
  void Expire(time_point now);

 private:
  struct version_state {
    std::string name;
    /// Number of upstreams in use.
    size_t in_use = 0;
    time_point last_used{};
  };
  using version_map = std::map<software_tag, version_state>;

  /// Whether \p state is in use or was within `kMaxStreamTime`.
  static bool IsRecent(time_point now, const version_state& state);

  std::map<std::string, version_map, std::less<>> services_;
  std::set<std::string, std::less<>> mixed_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_SOFTWARE_HISTORY_H_
