// Addresses that callers receive in a fleet with more hosts than fit in one
// response.
#include "cuminswitch/Fleet/address_selection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cuminswitch {
namespace {

constexpr size_t kDomains = 6;

std::string DomainOf(size_t number) {
  return "domain-" + std::to_string(number % kDomains);
}

std::vector<daemon_record> MakeFleet(size_t hosts) {
  std::vector<daemon_record> fleet;
  for (size_t i = 0; i < hosts; ++i) {
    fleet.push_back({.name = "host-" + std::to_string(i),
                     .caller_address = {"10." + std::to_string(i / 250) +
                                            ".0." + std::to_string(i % 250),
                                        80},
                     .failure_domain = DomainOf(i),
                     .is_ready = true});
  }
  return fleet;
}

std::vector<endpoint> Select(const std::vector<daemon_record>& fleet,
                             size_t caller) {
  return ChooseAddresses(fleet, {.failure_domain = DomainOf(caller),
                                 .caller = caller * 0x9e3779b97f4a7c15ULL});
}

/// Counts how often each host is selected for \p callers different callers.
std::map<endpoint, size_t> CountSelections(
    const std::vector<daemon_record>& fleet,
    size_t callers) {
  std::map<endpoint, size_t> selections;
  for (size_t caller = 0; caller < callers; ++caller) {
    for (const endpoint& address : Select(fleet, caller)) {
      ++selections[address];
    }
  }
  return selections;
}

// Guards against responses that list the first 64 hosts by name, so that all
// callers of a large fleet use the same hosts of one failure domain.
TEST(address_selection_test, SpreadsCallersEvenlyOverFleet) {
  constexpr size_t kCallers = 2000;
  for (const size_t hosts : {300, 1000, 2000}) {
    const auto selections = CountSelections(MakeFleet(hosts), kCallers);
    EXPECT_EQ(selections.size(), hosts);
    const double mean = 64.0 * kCallers / static_cast<double>(hosts);
    const auto most = std::max_element(
        selections.begin(), selections.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    EXPECT_LT(static_cast<double>(most->second), 1.6 * mean) << hosts;
  }
}

TEST(address_selection_test, SelectsMostAddressesFromCallersDomain) {
  for (const size_t hosts : {1000, 2000}) {
    const std::vector<daemon_record> fleet = MakeFleet(hosts);
    std::map<endpoint, std::string> domains;
    for (const daemon_record& host : fleet) {
      domains[host.caller_address] = host.failure_domain;
    }
    size_t own = 0;
    for (const endpoint& address : Select(fleet, 3)) {
      own += domains.at(address) == DomainOf(3) ? 1 : 0;
    }
    EXPECT_EQ(own, 60U);
  }
}

// Guards against responses with addresses of one failure domain only, of which
// none is left when that domain fails.
TEST(address_selection_test, LeavesAddressesWhenDomainFails) {
  const std::vector<daemon_record> fleet = MakeFleet(1000);
  for (size_t caller = 0; caller < 60; ++caller) {
    for (size_t lost = 0; lost < kDomains; ++lost) {
      std::set<endpoint> failed;
      for (const daemon_record& host : fleet) {
        if (host.failure_domain == DomainOf(lost)) {
          failed.insert(host.caller_address);
        }
      }
      const std::vector<endpoint> addresses = Select(fleet, caller);
      EXPECT_GE(std::count_if(addresses.begin(), addresses.end(),
                              [&](const endpoint& address) {
                                return !failed.contains(address);
                              }),
                4);
    }
  }
}

// Guards against responses that list different hosts each time, so that callers
// close healthy connections.
TEST(address_selection_test, SelectsSameAddressesWhileFleetIsUnchanged) {
  std::vector<daemon_record> fleet = MakeFleet(1000);
  const std::vector<endpoint> first = Select(fleet, 5);
  const std::set<endpoint> known(first.begin(), first.end());
  std::reverse(fleet.begin(), fleet.end());
  const std::vector<endpoint> again = Select(fleet, 5);
  EXPECT_EQ(std::set<endpoint>(again.begin(), again.end()), known);
  // Removing a host changes only one address.
  std::erase_if(fleet, [&](const daemon_record& host) {
    return host.caller_address == first[0];
  });
  size_t unchanged = 0;
  for (const endpoint& address : Select(fleet, 5)) {
    unchanged += known.contains(address) ? 1 : 0;
  }
  EXPECT_EQ(unchanged, 63U);
}

TEST(address_selection_test, SelectsWholeFleetIfItFits) {
  for (const size_t hosts : {1, 8, 33, 64}) {
    EXPECT_EQ(Select(MakeFleet(hosts), 1).size(), hosts);
  }
  EXPECT_EQ(Select(MakeFleet(95), 1).size(), 64U);
  EXPECT_EQ(ChooseAddresses(MakeFleet(200), {}).size(), 64U);
}

}  // namespace
}  // namespace cuminswitch
