/// \file
/// Decoded state of the deployment: upstreams, daemons, configuration.
#ifndef CUMINSWITCH_FLEET_FLEET_SNAPSHOT_H_
#define CUMINSWITCH_FLEET_FLEET_SNAPSHOT_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "cuminswitch/Fleet/item_view.h"
#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Fleet/routing_config.h"
#include "cuminswitch/Protocol/stream_origin.h"
#include "cuminswitch/Protocol/weights_publication.h"
#include "cuminswitch/Support/endpoint.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

/// Version of a model's weights: the one loaded by an upstream, or the target
/// set by the operators.
struct weights_version {
  std::string model;
  uint64_t version = 0;
  friend bool operator==(const weights_version&,
                         const weights_version&) = default;
};

/// Store entry of one run of an upstream.
struct upstream_entry {
  /// Usually differs between runs, but an upstream may restart with the same
  /// id.
  std::string id;
  std::string service;
  endpoint address;
  std::string failure_domain;
  /// Version of its software. Streams cannot be resumed at another one.
  std::string software_version;
  uint32_t slots = 0;
  bool is_draining = false;
  /// Start time in Unix milliseconds by the upstream's own clock. It
  /// distinguishes runs of one upstream: the greater value is the later run. 0
  /// if not given.
  uint64_t started = 0;
  /// Store revision at which the entry was last changed.
  revision_number revision = 0;
  std::vector<weights_version> weights;
  friend bool operator==(const upstream_entry&,
                         const upstream_entry&) = default;
};

/// Entries are immutable and shared.
using upstream_ref = std::shared_ptr<const upstream_entry>;

/// Change of one upstream's store entry.
struct upstream_entry_update {
  std::string id;
  /// Null if the entry was removed or cannot be decoded.
  upstream_ref entry;
  /// The entry exists but cannot be decoded; the upstream must not be used.
  bool is_unreadable = false;
  /// Store revision of the change.
  revision_number revision = 0;
};

/// Store entry of another daemon.
struct daemon_entry {
  std::string name;
  endpoint peer_address;
  friend bool operator==(const daemon_entry&, const daemon_entry&) = default;
};

/// Decoded store contents except the upstreams. Immutable once published.
struct fleet_snapshot {
  /// Null until the first configuration has been received.
  std::shared_ptr<const routing_config> config;
  std::vector<weights_version> wanted_weights;
  std::vector<daemon_entry> daemons;
  /// Digests of quarantined requests, which are not sent to upstreams.
  std::vector<hash128> quarantined;
  /// Services that have or recently had several software versions.
  std::vector<std::string> mixed_services;
  /// Recent publications of weights; `age` bounds the age of each for as long
  /// as its record exists.
  std::vector<publication_report> publications;
  /// The limits that upstreams advertised at most `kLimitRecordLifetime` ago.
  limit_record_frame limits;
  /// Origins of streams that were recorded before this daemon started; only in
  /// the first snapshot.
  std::vector<stream_origin> stream_origins;
  /// Name of the daemon that holds leadership and may send commands to engines;
  /// empty if there is none.
  std::string leader;
  revision_number revision = 0;
};

/// Result of decoding changed items; holds only what differs from before.
struct decoded_items {
  /// Null if unchanged.
  std::shared_ptr<const fleet_snapshot> snapshot;
  std::vector<upstream_entry_update> upstreams;
  /// Keys of the items that caused these changes.
  std::vector<std::string> changed_keys;
};

/// Decodes store items into a fleet snapshot. Keeps the decoded state and
/// processes only changed items.
class fleet_snapshot_decoder {
 public:
  virtual ~fleet_snapshot_decoder() = default;
  /// Decodes the items of \p view under \p keys. State of keys that are missing
  /// from \p view is dropped.
  virtual decoded_items Decode(const item_view& view,
                               std::span<const std::string> keys) = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_FLEET_SNAPSHOT_H_
