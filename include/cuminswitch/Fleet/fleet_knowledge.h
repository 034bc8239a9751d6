/// \file
/// What a daemon knows of the deployment, decoded.
#ifndef CUMINSWITCH_FLEET_FLEET_KNOWLEDGE_H_
#define CUMINSWITCH_FLEET_FLEET_KNOWLEDGE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cuminswitch/Fleet/item_view.h"
#include "cuminswitch/Fleet/route_plan.h"
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

/// Another daemon, as the store lists it.
struct daemon_entry {
  std::string name;
  endpoint peer_address;
  friend bool operator==(const daemon_entry&, const daemon_entry&) = default;
};

/// Immutable once published.
struct fleet_knowledge {
  /// Null until a configuration is known.
  std::shared_ptr<const route_plan> plan;
  std::vector<upstream_entry> upstreams;
  /// Ids of upstreams whose entries cannot be read: listed, but not to be used.
  std::vector<std::string> unreadable_upstreams;
  std::vector<weights_version> wanted_weights;
  std::vector<daemon_entry> daemons;
  /// Digests of requests that are kept away from upstreams.
  std::vector<hash128> quarantined;
  /// Who may order engines; empty when nobody does.
  std::string leader;
  revision_number revision = 0;
};

/// Turns stored items into knowledge. It keeps what it decoded last, so that
/// an unchanged item is not decoded again.
class knowledge_decoder {
 public:
  virtual ~knowledge_decoder() = default;
  /// Returns null when nothing that matters differs from the last call.
  virtual std::shared_ptr<const fleet_knowledge> Decode(
      const item_view& view) = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_FLEET_FLEET_KNOWLEDGE_H_
