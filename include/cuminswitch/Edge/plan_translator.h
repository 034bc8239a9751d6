/// \file
/// From what is known of a deployment to the router's configuration.
#ifndef CUMINSWITCH_EDGE_PLAN_TRANSLATOR_H_
#define CUMINSWITCH_EDGE_PLAN_TRANSLATOR_H_

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Fleet/fleet_knowledge.h"
#include "cuminswitch/Protocol/core_event.h"

namespace cuminswitch {

/// The router's name for a model at a service, or for the service itself where
/// \p model is empty. Two services may serve one model, each with its own
/// upstreams.
std::string TargetName(std::string_view service, std::string_view model);

/// Builds the router's configuration. The plan must be known.
std::shared_ptr<const configuration> TranslatePlan(
    const fleet_knowledge& knowledge);

/// What the router would have learnt by asking the upstream.
upstream_report TranslateUpstream(const upstream_entry& entry);

/// How urgent requests of \p rank are.
priority_class TranslateRank(uint32_t rank);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_PLAN_TRANSLATOR_H_
