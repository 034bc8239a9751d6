#include "cuminswitch/Daemon/gateway_metrics.h"

#include <nlohmann/json.hpp>

#include "cuminswitch/Core/core_status.h"
#include "cuminswitch/Metrics/metric_page.h"

namespace cuminswitch {

void workspace_metrics::Count(outcome result) {
  switch (result) {
    case outcome::kAnswered:
      ++answered;
      return;
    case outcome::kNotRun:
      ++not_run;
      return;
    case outcome::kUnknown:
      ++unknown;
      return;
  }
}

static std::string WorkspaceLabel(const std::string& workspace) {
  return "workspace=\"" + workspace + "\"";
}

static void WriteWorkspaces(const gateway_metrics& metrics, metric_page& page) {
  page.Begin("cuminswitch_requests_total", "counter",
             "Requests by workspace and outcome.");
  for (const auto& [name, item] : metrics.workspaces) {
    const std::string label = WorkspaceLabel(name) + ",outcome=";
    page.Add(static_cast<double>(item.answered), label + "\"answered\"");
    page.Add(static_cast<double>(item.not_run), label + "\"not_run\"");
    page.Add(static_cast<double>(item.unknown), label + "\"unknown\"");
  }
  page.Begin("cuminswitch_first_token_seconds", "histogram",
             "Time from a request to the first byte of its answer.");
  for (const auto& [name, item] : metrics.workspaces) {
    page.Add(item.first_token, WorkspaceLabel(name));
  }
  page.Begin("cuminswitch_between_tokens_seconds", "histogram",
             "Time between two pieces of a streamed answer.");
  for (const auto& [name, item] : metrics.workspaces) {
    page.Add(item.between_tokens, WorkspaceLabel(name));
  }
}

static void WriteCounters(const core_counters& counters, metric_page& page) {
  struct named_counter {
    std::string_view name;
    std::string_view help;
    uint64_t value;
  };
  const named_counter all[] = {
      {"cuminswitch_shed_total", "Requests refused for too long a wait.",
       counters.shed},
      {"cuminswitch_retries_total", "Second and later attempts.",
       counters.retries},
      {"cuminswitch_late_answers_total", "Ends of attempts given up before.",
       counters.late_answers},
      {"cuminswitch_platform_calls_total", "Calls on the platform's service.",
       counters.platform_calls},
      {"cuminswitch_peer_messages_total", "Messages sent to other daemons.",
       counters.peer_messages},
      {"cuminswitch_prompt_tokens_total", "Prompt tokens of answers.",
       counters.prompt_tokens},
      {"cuminswitch_cached_tokens_total", "Those of them that were cached.",
       counters.cached_tokens}};
  for (const named_counter& item : all) {
    page.Begin(item.name, "counter", item.help);
    page.Add(static_cast<double>(item.value));
  }
}

std::string WriteMetrics(const gateway_metrics& metrics,
                         const core_status& status) {
  metric_page page;
  WriteWorkspaces(metrics, page);
  WriteCounters(status.counters, page);
  page.Begin("cuminswitch_dispatch_delay_seconds", "histogram",
             "Time from a request read to its first dispatch.");
  page.Add(metrics.dispatch_delay);
  page.Begin("cuminswitch_waiting_requests", "gauge", "Requests that wait.");
  page.Add(static_cast<double>(status.waiting));
  page.Begin("cuminswitch_running_requests", "gauge", "Attempts under way.");
  page.Add(static_cast<double>(status.running));
  page.Begin("cuminswitch_configuration_generation", "gauge",
             "The configuration in force.");
  page.Add(static_cast<double>(status.generation));
  return page.Take();
}

std::string WriteStatus(const core_status& status) {
  nlohmann::json json;
  json["generation"] = status.generation;
  json["stopping"] = status.stopping;
  json["waiting"] = status.waiting;
  json["running"] = status.running;
  json["known_prefixes"] = status.known_prefixes;
  json["shards"] = status.shards;
  json["members"] = nlohmann::json::array();
  for (const member& item : status.members) {
    json["members"].push_back(
        {{"host", item.host},
         {"caller_address", item.caller_address.ToString()},
         {"peer_address", item.peer_address.ToString()},
         {"failure_domain", item.failure_domain},
         {"incarnation", item.incarnation},
         {"status", ToString(item.status)},
         {"shards", item.shards}});
  }
  json["upstreams"] = nlohmann::json::array();
  for (const upstream_status& item : status.upstreams) {
    json["upstreams"].push_back(
        {{"name", item.name},
         {"reachable", item.reachable},
         {"leaving", item.leaving},
         {"reported", item.reported},
         {"incarnation", item.incarnation},
         {"in_flight", item.in_flight},
         {"limit", item.limit},
         {"prefill_rate", item.prefill_rate},
         {"retention_seconds", item.retention_seconds}});
  }
  const core_counters& counters = status.counters;
  json["counters"] = {{"requests", counters.requests},
                      {"answered", counters.answered},
                      {"not_run", counters.not_run},
                      {"unknown", counters.unknown},
                      {"shed", counters.shed},
                      {"retries", counters.retries},
                      {"late_answers", counters.late_answers},
                      {"platform_calls", counters.platform_calls},
                      {"peer_messages", counters.peer_messages},
                      {"prompt_tokens", counters.prompt_tokens},
                      {"cached_tokens", counters.cached_tokens}};
  return json.dump(2) + "\n";
}

}  // namespace cuminswitch
