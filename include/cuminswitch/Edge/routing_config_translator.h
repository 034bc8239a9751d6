/// \file
/// Translates a snapshot of the deployment into the router's configuration.
#ifndef CUMINSWITCH_EDGE_ROUTING_CONFIG_TRANSLATOR_H_
#define CUMINSWITCH_EDGE_ROUTING_CONFIG_TRANSLATOR_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Fleet/fleet_snapshot.h"

namespace cuminswitch {

class weights_version_counter;

/// Returns the router's name for \p model at \p service, or for the service
/// itself where \p model is empty. Two services may serve the same model, each
/// with its own upstreams.
std::string TargetName(std::string_view service, std::string_view model);

/// Builds the router's configuration, without the upstreams. \p snapshot must
/// contain a routing config. A model's version is the newest published one;
/// before any is published, the one that most of the service's upstreams have
/// according to \p counter. None of what is new to this daemon was written
/// before \p written_after.
std::shared_ptr<const configuration> TranslateRoutingConfig(
    const fleet_snapshot& snapshot,
    const weights_version_counter& counter,
    time_point written_after);

/// Translates an upstream's store entry. The report in it replaces the one that
/// the router would get from a probe.
upstream_update TranslateUpstream(const upstream_entry& entry);

/// Returns the router's priority class for \p rank; 0 is the most urgent.
priority_class TranslateRank(uint32_t rank);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_ROUTING_CONFIG_TRANSLATOR_H_
