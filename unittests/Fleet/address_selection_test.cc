// What callers of a fleet are told that is larger than one answer.
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

std::vector<endpoint> Ask(const std::vector<daemon_record>& fleet,
                          size_t caller) {
  return ChooseAddresses(fleet, {.failure_domain = DomainOf(caller),
                                 .caller = caller * 0x9e3779b97f4a7c15ULL});
}

/// How often each host is named to \p callers.
std::map<endpoint, size_t> CountNamed(const std::vector<daemon_record>& fleet,
                                      size_t callers) {
  std::map<endpoint, size_t> named;
  for (size_t caller = 0; caller < callers; ++caller) {
    for (const endpoint& address : Ask(fleet, caller)) {
      ++named[address];
    }
  }
  return named;
}

// All callers of a large fleet use the same 64 hosts, of one failure domain:
// answers named the first hosts in the order of their names.
TEST(address_selection_test, CallersSpreadEvenlyOverTheFleet) {
  constexpr size_t kCallers = 2000;
  for (const size_t hosts : {300, 1000, 2000}) {
    const auto named = CountNamed(MakeFleet(hosts), kCallers);
    EXPECT_EQ(named.size(), hosts);
    const double mean = 64.0 * kCallers / static_cast<double>(hosts);
    const auto most = std::max_element(
        named.begin(), named.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    EXPECT_LT(static_cast<double>(most->second), 1.6 * mean) << hosts;
  }
}

TEST(address_selection_test, MostAddressesAreOfTheCallersDomain) {
  for (const size_t hosts : {1000, 2000}) {
    const std::vector<daemon_record> fleet = MakeFleet(hosts);
    std::map<endpoint, std::string> domains;
    for (const daemon_record& host : fleet) {
      domains[host.caller_address] = host.failure_domain;
    }
    size_t own = 0;
    for (const endpoint& address : Ask(fleet, 3)) {
      own += domains.at(address) == DomainOf(3) ? 1 : 0;
    }
    EXPECT_EQ(own, 60U);
  }
}

// The loss of one failure domain takes all addresses that its callers hold.
TEST(address_selection_test, SomethingIsLeftWhenADomainIsLost) {
  const std::vector<daemon_record> fleet = MakeFleet(1000);
  for (size_t caller = 0; caller < 60; ++caller) {
    for (size_t lost = 0; lost < kDomains; ++lost) {
      std::set<endpoint> gone;
      for (const daemon_record& host : fleet) {
        if (host.failure_domain == DomainOf(lost)) {
          gone.insert(host.caller_address);
        }
      }
      const std::vector<endpoint> told = Ask(fleet, caller);
      EXPECT_GE(std::count_if(told.begin(), told.end(),
                              [&](const endpoint& address) {
                                return !gone.contains(address);
                              }),
                4);
    }
  }
}

// Callers close sound connections with each new answer: each answer named other
// hosts.
TEST(address_selection_test, ACallerIsToldTheSameWhileTheFleetIsTheSame) {
  std::vector<daemon_record> fleet = MakeFleet(1000);
  const std::vector<endpoint> first = Ask(fleet, 5);
  const std::set<endpoint> known(first.begin(), first.end());
  std::reverse(fleet.begin(), fleet.end());
  const std::vector<endpoint> again = Ask(fleet, 5);
  EXPECT_EQ(std::set<endpoint>(again.begin(), again.end()), known);
  // A host that goes costs one address.
  std::erase_if(fleet, [&](const daemon_record& host) {
    return host.caller_address == first[0];
  });
  size_t kept = 0;
  for (const endpoint& address : Ask(fleet, 5)) {
    kept += known.contains(address) ? 1 : 0;
  }
  EXPECT_EQ(kept, 63U);
}

TEST(address_selection_test, AFleetThatFitsIsNamedWhole) {
  for (const size_t hosts : {1, 8, 33, 64}) {
    EXPECT_EQ(Ask(MakeFleet(hosts), 1).size(), hosts);
  }
  EXPECT_EQ(Ask(MakeFleet(95), 1).size(), 64U);
  EXPECT_EQ(ChooseAddresses(MakeFleet(200), {}).size(), 64U);
}

}  // namespace
}  // namespace cuminswitch
