// The records of quarantined requests in the store.
#include "cuminswitch/Fleet/quarantine_records.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "idle_item_store.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Grants leases and accepts writes, unless set to another status.
class writable_store : public idle_item_store {
 public:
  void Write(const conditional_write& write,
             std::function<void(store_write)> done) override {
    writes.push_back(write);
    done({.status = write_end});
  }
  void GrantLease(milliseconds time_to_live,
                  std::function<void(store_lease)> done) override {
    lease_times.push_back(time_to_live);
    done({.status = lease_end, .lease = lease_times.size()});
  }
  void EndLease(lease_number lease) override { ended.push_back(lease); }

  store_status lease_end = store_status::kDone;
  store_status write_end = store_status::kDone;
  std::vector<milliseconds> lease_times;
  std::vector<conditional_write> writes;
  std::vector<lease_number> ended;
};

constexpr hash128 kRequest{.high = 0xab, .low = 0xcd};

class quarantine_records_test : public testing::Test {
 protected:
  void Tick(const std::vector<hash128>& stored = {}) {
    records_.OnTick(now_, wanted_, stored);
  }

  time_point now_{seconds(100)};
  writable_store store_;
  quarantine_records records_{{.prefix = "q/", .author = "d1"}, store_};
  std::vector<quarantine_record> wanted_ = {
      {.request = kRequest, .time_left = seconds(600)}};
};

TEST_F(quarantine_records_test,
       WritesARequestOnceUnderALeaseOfItsQuarantineTime) {
  Tick();
  Tick();
  ASSERT_EQ(store_.writes.size(), 1U);
  EXPECT_EQ(store_.writes[0].key, "q/00000000000000ab00000000000000cd");
  EXPECT_EQ(store_.writes[0].value, "d1");
  EXPECT_EQ(store_.writes[0].lease, 1U);
  EXPECT_EQ(store_.lease_times[0], seconds(600));
  now_ += seconds(10);
  Tick({kRequest});
  EXPECT_EQ(store_.writes.size(), 1U);
}

TEST_F(quarantine_records_test, RetriesWhileTheStoreDoesNotListTheRequest) {
  store_.lease_end = store_status::kRefused;
  Tick();
  EXPECT_TRUE(store_.writes.empty());
  store_.lease_end = store_status::kDone;
  store_.write_end = store_status::kUnknown;
  now_ += seconds(2);
  Tick();
  now_ += seconds(2);
  Tick();
  EXPECT_EQ(store_.writes.size(), 2U);
}

TEST_F(quarantine_records_test, EndsTheLeaseWhenAnotherDaemonWroteTheRequest) {
  store_.write_end = store_status::kConflict;
  Tick();
  EXPECT_EQ(store_.ended, std::vector<lease_number>{1});
}

// Guards against a record of refuted crashes that daemons read at their start.
TEST_F(quarantine_records_test, RemovesItsRecordOnceItIsNotWanted) {
  Tick();
  wanted_.clear();
  Tick({kRequest});
  EXPECT_TRUE(store_.ended.empty()) << "too soon after the write";
  now_ += seconds(2);
  Tick({kRequest});
  EXPECT_EQ(store_.ended, std::vector<lease_number>{1});
  now_ += seconds(2);
  Tick();
  now_ += seconds(2);
  Tick({kRequest});
  EXPECT_EQ(store_.ended.size(), 1U) << "the record is another daemon's";
}

}  // namespace
}  // namespace cuminswitch
