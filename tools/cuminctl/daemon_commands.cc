// The commands that query daemons over HTTP.
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>

#include "command.h"
#include "cuminswitch/CommandLine/option_parser.h"
#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Control/configuration_store.h"
#include "cuminswitch/Net/blocking_http.h"
#include "cuminswitch/Platform/blocking_platform.h"
#include "cuminswitch/Report/burn_report.h"
#include "cuminswitch/Report/metric_sample.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {
namespace {

std::string Fetch(const std::string& address,
                  const std::string& path,
                  const std::string& credential) {
  const std::optional<endpoint> to = ParseEndpoint(address);
  if (!to) {
    throw usage_error(address + ": not a numeric address:port");
  }
  http_call_options call{.to = *to, .path = path};
  if (!credential.empty()) {
    call.headers.push_back(
        {.name = "Authorization", .value = "Bearer " + credential});
  }
  const blocking_response response = FetchBlocking(call);
  if (response.end != http_result::kComplete) {
    throw std::runtime_error(address + ": no complete response");
  }
  if (response.head.status != status_code::kOk) {
    throw std::runtime_error(address + ": status " +
                             std::to_string(response.head.status) + " " +
                             response.body);
  }
  return response.body;
}

void PrintStatus(const std::string& address, const std::string& body) {
  const auto json = nlohmann::json::parse(body);
  std::cout << address << " generation=" << json["generation"]
            << " waiting=" << json["waiting"] << " running=" << json["running"]
            << " shards=" << json["shards"].size() << "\n";
  for (const auto& item : json["members"]) {
    std::cout << "  member " << item["host"].get<std::string>() << " "
              << item["failure_domain"].get<std::string>() << " "
              << item["status"].get<std::string>()
              << " shards=" << item["shards"].size() << "\n";
  }
  for (const auto& item : json["upstreams"]) {
    std::cout << "  upstream " << item["name"].get<std::string>()
              << (item["reachable"].get<bool>() ? " reachable" : " unreachable")
              << (item["leaving"].get<bool>() ? " leaving" : "")
              << " in_flight=" << item["in_flight"] << "\n";
  }
}

}  // namespace

int RunStatus(const argument_list& arguments) {
  std::string credential;
  bool json = false;
  option_parser parser("cuminctl status", "[OPTION...] ADDRESS...");
  parser.AddString("credential", credential, "The operators' credential");
  parser.AddFlag("json", json,
                 "Print the responses of the daemons as they are");
  const argument_list addresses = parser.Parse(arguments);
  if (addresses.empty()) {
    throw usage_error("at least one daemon's address:port is required");
  }
  int result = kSuccess;
  for (const std::string& address : addresses) {
    try {
      const std::string body = Fetch(address, "/status", credential);
      if (json) {
        std::cout << body;
      } else {
        PrintStatus(address, body);
      }
    } catch (const usage_error&) {
      throw;
    } catch (const std::runtime_error& error) {
      std::cerr << "cuminctl: " << error.what() << "\n";
      result = kFailed;
    }
  }
  return result;
}

int RunReport(const argument_list& arguments) {
  std::string credential;
  std::string platform;
  int seconds = 10;
  bool json = false;
  option_parser parser("cuminctl report", "[OPTION...] ADDRESS...");
  parser.AddString("credential", credential, "The operators' credential");
  parser.AddString(
      "platform", platform,
      "Address of the platform service, which holds the objectives", "ADDRESS");
  parser.AddInteger("seconds", seconds,
                    "Length of the short window in seconds; the long window "
                    "begins at the start of the daemons");
  parser.AddFlag("json", json, "Print the report as JSON");
  const argument_list addresses = parser.Parse(arguments);
  const std::optional<endpoint> platform_address = ParseEndpoint(platform);
  if (addresses.empty() || !platform_address || seconds < 0) {
    throw usage_error(
        "--platform, a --seconds of at least 0 and at least one "
        "daemon's address:port are required");
  }
  blocking_platform platform_access({.address = *platform_address});
  const platform_spec objectives =
      configuration_store(platform_access).Fetch().config.platform;
  const auto sample = [&] {
    metric_sample result;
    for (const std::string& address : addresses) {
      AddMetricsPage(Fetch(address, "/metrics", credential), result);
    }
    return result;
  };
  const metric_sample begin = sample();
  std::this_thread::sleep_for(std::chrono::seconds(seconds));
  const auto rows = ComputeBurn(objectives, begin, sample());
  std::cout << (json ? WriteBurnJson(rows) : WriteBurnText(rows));
  return kSuccess;
}

int RunAddresses(const argument_list& arguments) {
  std::string credential;
  option_parser parser("cuminctl addresses", "[OPTION...] ADDRESS");
  parser.AddString("credential", credential, "The workspace's credential");
  const argument_list rest = parser.Parse(arguments);
  if (rest.size() != 1) {
    throw usage_error("exactly one daemon's address:port is required");
  }
  std::cout << Fetch(rest.front(), "/v1/addresses", credential);
  return kSuccess;
}

}  // namespace cuminswitch
