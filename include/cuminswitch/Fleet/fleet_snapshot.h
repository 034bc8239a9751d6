/// \file
/// What a daemon knows of the deployment, decoded.
#ifndef CUMINSWITCH_FLEET_FLEET_SNAPSHOT_H_
#define CUMINSWITCH_FLEET_FLEET_SNAPSHOT_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "cuminswitch/Fleet/item_view.h"
#include "cuminswitch/Fleet/routing_config.h"
#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// A model's weights at an upstream, or as the operators want them.
struct weights_version {
  std::string model;
  uint64_t version = 0;
  friend bool operator==(const weights_version&,
                         const weights_version&) = default;
};

/// One start of one upstream.
struct upstream_entry {
  /// Mostly new with each start, but an upstream may start again under it.
  std::string id;
  std::string service;
  endpoint address;
  std::string failure_domain;
  uint32_t slots = 0;
  bool is_draining = false;
  /// When it started, in Unix milliseconds of its own clock; tells its starts
  /// apart, the greater one being the later. 0 where it does not say.
  uint64_t started = 0;
  /// The store's revision of the entry.
  revision_number revision = 0;
  std::vector<weights_version> weights;
  friend bool operator==(const upstream_entry&,
                         const upstream_entry&) = default;
};

/// Entries never change; all who need one share it.
using upstream_ref = std::shared_ptr<const upstream_entry>;

/// What the store says of one upstream now.
struct upstream_entry_update {
  std::string id;
  /// Null where it has no entry that can be read.
  upstream_ref entry;
  /// It has one that cannot be read: it is listed, but not to be used.
  bool is_unreadable = false;
  /// The store's revision of the change.
  revision_number revision = 0;
};

/// Another daemon, as the store lists it.
struct daemon_entry {
  std::string name;
  endpoint peer_address;
  friend bool operator==(const daemon_entry&, const daemon_entry&) = default;
};

/// What is known besides the upstreams. Immutable once published.
struct fleet_snapshot {
  /// Null until a configuration is known.
  std::shared_ptr<const routing_config> config;
  std::vector<weights_version> wanted_weights;
  std::vector<daemon_entry> daemons;
  /// Digests of requests that are kept away from upstreams.
  std::vector<hash128> quarantined;
  /// Who may order engines; empty when nobody does.
  std::string leader;
  revision_number revision = 0;
};

/// What changed items say that was not known before.
struct decoded_items {
  /// Null where all of it is as it was.
  std::shared_ptr<const fleet_snapshot> snapshot;
  std::vector<upstream_entry_update> upstreams;
  /// The keys that said so.
  std::vector<std::string> changed_keys;
};

/// Turns stored items into knowledge. It keeps what it decoded, and visits only
/// what changed.
class fleet_snapshot_decoder {
 public:
  virtual ~fleet_snapshot_decoder() = default;
  /// Takes in the items under \p keys as \p view has them; those that it lacks
  /// are forgotten.
  virtual decoded_items Decode(const item_view& view,
                               std::span<const std::string> keys) = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_FLEET_SNAPSHOT_H_
