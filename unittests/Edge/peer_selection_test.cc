// Tests which daemons a request is forwarded to.
#include "cuminswitch/Edge/peer_selection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>

#include "cuminswitch/Support/hash.h"

namespace cuminswitch {
namespace {

daemon_record Peer(std::string name, bool is_ready, bool is_leaving) {
  return {
      .name = std::move(name), .is_ready = is_ready, .is_leaving = is_leaving};
}

std::vector<std::string> NamesOf(const std::vector<forward_target>& targets) {
  std::vector<std::string> names;
  names.reserve(targets.size());
  for (const forward_target& item : targets) {
    names.push_back(item.name);
  }
  return names;
}

// Guards against refused callers while the only daemon that reaches upstreams
// is stopping.
TEST(peer_selection_test, StoppingPeerThatReachesUpstreamsIsAsked) {
  const std::vector<daemon_record> peers = {Peer("lost", false, false),
                                            Peer("stopping", true, true),
                                            Peer("lost-too", false, true)};
  EXPECT_EQ(NamesOf(ChooseForwardTargets(peers, "s", "1")),
            std::vector<std::string>{"stopping"});
}

// Guards against requests of a service that are forwarded to a daemon that
// reaches other services only.
TEST(peer_selection_test, PeerThatLostTheServiceIsNotAsked) {
  std::vector<daemon_record> peers = {Peer("lost", true, false),
                                      Peer("a", true, false)};
  peers[0].lost_services = {Hash64("s")};
  EXPECT_EQ(NamesOf(ChooseForwardTargets(peers, "s", "1")),
            std::vector<std::string>{"a"});
  EXPECT_EQ(ChooseForwardTargets(peers, "t", "1").size(), 2U);
}

TEST(peer_selection_test, StoppingPeersComeLast) {
  const std::vector<daemon_record> peers = {
      Peer("stopping", true, true), Peer("a", true, false),
      Peer("stopping-too", true, true), Peer("b", true, false)};
  for (int i = 0; i < 50; ++i) {
    const auto names =
        NamesOf(ChooseForwardTargets(peers, "s", std::to_string(i)));
    ASSERT_EQ(names.size(), 3U);
    EXPECT_EQ(std::set<std::string>(names.begin(), names.begin() + 2),
              (std::set<std::string>{"a", "b"}));
  }
}

TEST(peer_selection_test, AttemptsSpreadOverAllPeers) {
  std::vector<daemon_record> peers;
  for (const char* name : {"a", "b", "c", "d", "e"}) {
    peers.push_back(Peer(name, true, false));
  }
  std::set<std::string> first;
  for (int i = 0; i < 100; ++i) {
    first.insert(
        ChooseForwardTargets(peers, "s", std::to_string(i)).front().name);
  }
  EXPECT_EQ(first.size(), peers.size());
}

}  // namespace
}  // namespace cuminswitch
