/// \file
/// From what is known of a deployment to the router's configuration.
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

/// The router's name for a model at a service, or for the service itself where
/// \p model is empty. Two services may serve one model, each with its own
/// upstreams.
std::string TargetName(std::string_view service, std::string_view model);

/// Builds the router's configuration but for its upstreams. The plan must be
/// known. A model's version is the newest of those named and of those that
/// \p held says upstreams have: that an upstream has one only shows that its
/// naming is known there and not yet here.
std::shared_ptr<const configuration> TranslateRoutingConfig(
    const fleet_snapshot& knowledge,
    const weights_version_counter& held);

/// The upstream as the router knows it; its report is what the router would
/// have learnt by asking.
upstream_update TranslateUpstream(const upstream_entry& entry);

/// How urgent requests of \p rank are.
priority_class TranslateRank(uint32_t rank);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_ROUTING_CONFIG_TRANSLATOR_H_
