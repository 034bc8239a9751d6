// The origins of streams over a simulated fleet, without a network.
#include "cuminswitch/Edge/stream_origin_registry.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr software_tag kOld = 11;
constexpr software_tag kNew = 12;

/// Daemons that deliver each other's messages at once.
class origin_fleet {
 public:
  explicit origin_fleet(size_t count) : daemons_(count) {
    for (size_t i = 0; i < count; ++i) {
      Start(i);
    }
    AnnouncePeers();
  }

  /// Starts the daemon, which knows nothing, and no peers yet.
  void Start(size_t index) {
    daemon& item = daemons_[index];
    ++item.incarnation;
    item.is_alive = true;
    item.registry =
        std::make_unique<stream_origin_registry>(AddressOf(index), now_);
  }
  void Kill(size_t index) { daemons_[index].is_alive = false; }
  /// The daemon runs, but receives and sends nothing while \p is_partitioned.
  void Partition(size_t index, bool is_partitioned = true) {
    daemons_[index].is_partitioned = is_partitioned;
  }

  /// Tells all daemons which others are alive.
  void AnnouncePeers() {
    std::vector<daemon_record> alive;
    for (size_t i = 0; i < daemons_.size(); ++i) {
      if (daemons_[i].is_alive) {
        alive.push_back({.name = std::to_string(i),
                         .incarnation = daemons_[i].incarnation,
                         .peer_address = AddressOf(i),
                         .failure_domain = "z" + std::to_string(i % 4),
                         .tracks_streams = daemons_[i].tracks_streams});
      }
    }
    for (size_t i = 0; i < daemons_.size(); ++i) {
      if (daemons_[i].is_alive) {
        std::vector<daemon_record> others = alive;
        std::erase_if(others, [&](const daemon_record& other) {
          return other.peer_address == AddressOf(i);
        });
        daemons_[i].registry->SetPeers(now_, others);
      }
    }
    Deliver();
  }
  /// The daemon is one of the landing before, which rejects the messages.
  void SetOutdated(size_t index) { daemons_[index].tracks_streams = false; }

  void Begin(size_t index,
             uint64_t stream,
             software_tag software,
             uint32_t number = 1) {
    daemons_[index].registry->OnDispatch(now_, stream,
                                         {.stream = stream,
                                          .software = software,
                                          .number = number,
                                          .time_left = seconds(12)});
    Deliver();
  }

  /// Returns the end of the search for \p stream by the daemon \p index.
  found_origin Find(size_t index, uint64_t stream) {
    stream_origin_registry& registry = *daemons_[index].registry;
    registry.Find(now_, stream, stream);
    Deliver();
    std::vector<found_origin> found = registry.TakeFound();
    if (found.empty()) {
      Advance(milliseconds(250));
      found = registry.TakeFound();
    }
    return found.at(0);
  }

  void Advance(duration time) {
    now_ += time;
    for (daemon& item : daemons_) {
      if (item.is_alive) {
        item.registry->OnTick(now_);
      }
    }
  }

  stream_origin_registry& at(size_t index) { return *daemons_[index].registry; }
  size_t size() const { return daemons_.size(); }
  /// Messages and encoded bytes delivered so far.
  size_t messages() const { return messages_; }
  size_t bytes() const { return bytes_; }
  bool is_outdated_reached() const { return is_outdated_reached_; }

 private:
  struct daemon {
    std::unique_ptr<stream_origin_registry> registry;
    uint64_t incarnation = 0;
    bool is_alive = false;
    bool is_partitioned = false;
    bool tracks_streams = true;
  };

  static endpoint AddressOf(size_t index) {
    return {.address = "10.0.0.1", .port = static_cast<uint16_t>(index + 1)};
  }

  void Deliver() {
    for (bool has_more = true; has_more;) {
      has_more = false;
      for (daemon& from : daemons_) {
        if (!from.is_alive) {
          continue;
        }
        for (outgoing_origin_message& item : from.registry->TakeMessages()) {
          daemon& to = daemons_.at(item.to.port - size_t{1});
          is_outdated_reached_ = is_outdated_reached_ || !to.tracks_streams;
          if (from.is_partitioned || to.is_partitioned || !to.is_alive) {
            continue;
          }
          has_more = true;
          ++messages_;
          std::visit([&](const auto& message) { Receive(to, message); },
                     item.message);
        }
      }
    }
  }
  template <class Message>
  void Receive(daemon& to, const Message& message) {
    const std::string bytes = EncodePeerFrame(message);
    bytes_ += bytes.size();
    const auto frame = DecodePeerFrame(
        {reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size()});
    const auto& received = std::get<Message>(frame.value());
    if constexpr (std::is_same_v<Message, origin_report>) {
      to.registry->OnReport(now_, received);
    } else if constexpr (std::is_same_v<Message, origin_query>) {
      to.registry->OnQuery(now_, received);
    } else {
      to.registry->OnReply(now_, received);
    }
  }

  time_point now_{seconds(1'000)};
  std::vector<daemon> daemons_;
  size_t messages_ = 0;
  size_t bytes_ = 0;
  bool is_outdated_reached_ = false;
};

// Guards against a stream that goes on elsewhere after its daemon was killed.
TEST(stream_origin_registry_test, AnyDaemonFindsTheVersionOfAKilledOne) {
  origin_fleet fleet(8);
  fleet.Advance(seconds(2));
  for (uint64_t stream = 1; stream <= 50; ++stream) {
    fleet.Begin(0, stream, stream % 2 == 0 ? kOld : kNew);
  }
  fleet.Kill(0);
  for (uint64_t stream = 1; stream <= 50; ++stream) {
    const found_origin found = fleet.Find(1 + stream % 7, stream);
    EXPECT_EQ(found.software, stream % 2 == 0 ? kOld : kNew);
  }
}

// Guards against versions that are forgotten while hosts restart in turn.
TEST(stream_origin_registry_test, StreamOutlivesARestartOfAllOtherDaemons) {
  origin_fleet fleet(5);
  fleet.Begin(0, 7, kOld);
  for (size_t i = 1; i < fleet.size(); ++i) {
    fleet.Kill(i);
    fleet.AnnouncePeers();
    fleet.Advance(milliseconds(300));
    fleet.Start(i);
    fleet.AnnouncePeers();
  }
  fleet.Kill(0);
  fleet.AnnouncePeers();
  fleet.Advance(seconds(2));
  for (size_t i = 1; i < fleet.size(); ++i) {
    EXPECT_EQ(fleet.Find(i, 7).software, kOld);
  }
}

// Guards against the loss of most records when many hosts are killed at once.
TEST(stream_origin_registry_test, MostStreamsAreKnownAfterMostDaemonsEnd) {
  constexpr uint64_t kStreams = 500;
  origin_fleet fleet(8);
  fleet.Advance(seconds(2));
  for (uint64_t stream = 1; stream <= kStreams; ++stream) {
    fleet.Begin(stream % 5, stream, kOld);
  }
  for (size_t i = 0; i < 5; ++i) {
    fleet.Kill(i);
  }
  fleet.AnnouncePeers();
  size_t known = 0;
  for (uint64_t stream = 1; stream <= kStreams; ++stream) {
    known += fleet.Find(5 + stream % 3, stream).software ? 1 : 0;
  }
  std::cout << "5 of 8 daemons killed: " << known << " of " << kStreams
            << " streams known\n";
  EXPECT_GE(known, kStreams * 9 / 10);
}

// Guards against a daemon that has just started and refuses what others know.
TEST(stream_origin_registry_test, WaitsForPeersAfterItsStart) {
  origin_fleet fleet(4);
  fleet.Begin(1, 7, kOld);
  fleet.Kill(0);
  fleet.Start(0);
  stream_origin_registry& started = fleet.at(0);
  started.Find(time_point(seconds(1'000)), 1, 7);
  EXPECT_TRUE(started.TakeFound().empty());
  fleet.AnnouncePeers();
  const auto found = started.TakeFound();
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].software, kOld);
}

// Guards against a version from before a retry that reached another upstream.
TEST(stream_origin_registry_test, LaterUpstreamReplacesAnEarlierOne) {
  origin_fleet fleet(3);
  fleet.Advance(seconds(2));
  fleet.Begin(0, 7, kOld, 1);
  fleet.Begin(0, 7, kNew, 2);
  EXPECT_EQ(fleet.Find(1, 7).software, kNew);
  EXPECT_EQ(fleet.Find(2, 7).software, kNew);
}

TEST(stream_origin_registry_test, UnknownStreamEndsWithAReasonAtOnce) {
  origin_fleet fleet(3);
  fleet.Advance(seconds(2));
  const found_origin none = fleet.Find(0, 9);
  EXPECT_EQ(none.source, origin_source::kNone);
  EXPECT_FALSE(none.software);
  EXPECT_EQ(none.asked, 2U);
  fleet.Partition(1);
  EXPECT_EQ(fleet.Find(0, 9).source, origin_source::kNoReply);
}

// Guards against the refusal of a stream whose origin arrives while peers are
// asked: a suspended daemon may read the request before the reports.
TEST(stream_origin_registry_test, ReportsDuringTheSearchCount) {
  origin_fleet fleet(3);
  fleet.Advance(seconds(2));
  fleet.Partition(1);
  fleet.Partition(2);
  stream_origin_registry& registry = fleet.at(0);
  registry.Find(time_point(seconds(1'002)), 1, 7);
  for (const uint32_t number : {1U, 2U}) {
    registry.OnReport(time_point(seconds(1'002)),
                      {.origins = {{.stream = 7,
                                    .software = number == 1 ? kOld : kNew,
                                    .number = number,
                                    .time_left = seconds(10)}}});
  }
  EXPECT_TRUE(registry.TakeFound().empty()) << "a later upstream may follow";
  fleet.Advance(milliseconds(250));
  const auto found = registry.TakeFound();
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found[0].software, kNew);
  EXPECT_EQ(found[0].source, origin_source::kSelf);
}

// Guards against a stream that goes on at the version of its first upstream,
// because a daemon was partitioned when the stream went to another one.
TEST(stream_origin_registry_test, DaemonThatMissedALaterUpstreamAsksOthers) {
  origin_fleet fleet(5);
  fleet.Advance(seconds(2));
  fleet.Begin(0, 7, kOld, 1);
  fleet.Partition(1);
  fleet.Begin(0, 7, kNew, 2);
  fleet.Kill(0);
  fleet.Partition(1, false);
  for (size_t i = 1; i < fleet.size(); ++i) {
    EXPECT_EQ(fleet.Find(i, 7).software, kNew);
  }
}

TEST(stream_origin_registry_test, OriginEndsWithItsTime) {
  origin_fleet fleet(3);
  fleet.Begin(0, 7, kOld);
  fleet.Advance(seconds(13));
  EXPECT_FALSE(fleet.Find(1, 7).software);
  EXPECT_EQ(fleet.at(0).size(), 0U);
}

// Guards against connections that daemons of the landing before close because
// of messages that they do not know.
TEST(stream_origin_registry_test, OutdatedDaemonsGetNoMessages) {
  origin_fleet fleet(4);
  fleet.SetOutdated(2);
  fleet.AnnouncePeers();
  for (uint64_t stream = 1; stream <= 20; ++stream) {
    fleet.Begin(0, stream, kOld);
    fleet.Find(1, 100 + stream);
  }
  EXPECT_FALSE(fleet.is_outdated_reached());
}

// Guards against messages whose number grows with the fleet.
TEST(stream_origin_registry_test, MessagesDoNotGrowWithTheFleet) {
  constexpr uint64_t kStreams = 400;
  for (const size_t count : {size_t{8}, size_t{100}, size_t{1'000}}) {
    origin_fleet fleet(count);
    for (uint64_t stream = 1; stream <= kStreams; ++stream) {
      fleet.Begin(stream % count, stream, kOld);
    }
    size_t copies = 0;
    for (size_t i = 0; i < count; ++i) {
      copies += fleet.at(i).size();
    }
    std::cout << count << " daemons: " << fleet.messages() / kStreams
              << " messages, " << fleet.bytes() / kStreams << " bytes, "
              << copies / kStreams << " copies for each stream\n";
    EXPECT_LE(fleet.messages(), kStreams * 4);
  }
}

// Guards against memory that a flood of streams takes.
TEST(stream_origin_table_test, HoldsABoundedNumberOfOrigins) {
  stream_origin_table table;
  const time_point now{seconds(5)};
  for (uint64_t i = 1; i <= stream_origin_table::kMaxOrigins + 10; ++i) {
    table.Record(now, {.stream = i, .software = kOld, .time_left = seconds(9)});
  }
  EXPECT_EQ(table.size(), stream_origin_table::kMaxOrigins);
  EXPECT_FALSE(table.Find(now, 1));
  EXPECT_TRUE(table.Find(now, stream_origin_table::kMaxOrigins));
}

}  // namespace
}  // namespace cuminswitch
