// The software versions of services, and their records in the store.
#include "cuminswitch/Fleet/software_history.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "cuminswitch/Fleet/mixed_service_records.h"
#include "idle_item_store.h"

namespace cuminswitch {
namespace {

using std::chrono::seconds;

constexpr time_point kNow{seconds(500)};

TEST(software_history_test, KnowsTheOnlyVersion) {
  software_history history;
  EXPECT_FALSE(history.SoleVersion(kNow, "s"));
  history.Add("s", "v1");
  history.Add("s", "v1");
  history.Add("t", "v2");
  EXPECT_EQ(history.SoleVersion(kNow, "s"), SoftwareTag("s", "v1"));
  EXPECT_EQ(history.NameOf(SoftwareTag("t", "v2")), "v2");
  EXPECT_EQ(history.ServiceOf(SoftwareTag("t", "v2")), "t");
  EXPECT_TRUE(history.ListMixed(kNow).empty());
}

// Guards against a stream of a version that has just gone.
TEST(software_history_test, VersionThatHasGoneCountsForTheTimeOfAStream) {
  software_history history;
  history.Add("s", "v1");
  history.Add("s", "v2");
  EXPECT_FALSE(history.SoleVersion(kNow, "s"));
  history.Remove(kNow, "s", "v1");
  const time_point before_end = kNow + kMaxStreamTime - seconds(1);
  EXPECT_FALSE(history.SoleVersion(before_end, "s"));
  EXPECT_EQ(history.ListMixed(before_end), std::vector<std::string>{"s"});
  const time_point end = kNow + kMaxStreamTime;
  EXPECT_EQ(history.SoleVersion(end, "s"), SoftwareTag("s", "v2"));
  history.Expire(end);
  EXPECT_EQ(history.NameOf(SoftwareTag("s", "v1")), "");
}

// Guards against a stream that a daemon resumes which started after a version
// had gone.
TEST(software_history_test, ServiceThatTheStoreCallsMixedHasNoSoleVersion) {
  software_history history;
  history.Add("s", "v2");
  history.SetMixed(std::vector<std::string>{"s"});
  EXPECT_FALSE(history.SoleVersion(kNow, "s"));
  history.SetMixed({});
  EXPECT_TRUE(history.SoleVersion(kNow, "s"));
}

class recording_store : public idle_item_store {
 public:
  void Write(const conditional_write& write,
             std::function<void(store_write)> done) override {
    writes.push_back(write);
    done({.status = status});
  }
  void GrantLease(std::chrono::milliseconds time_to_live,
                  std::function<void(store_lease)> done) override {
    EXPECT_GE(time_to_live, 2 * kMaxStreamTime);
    done({.status = store_status::kDone, .lease = 3});
  }

  store_status status = store_status::kDone;
  std::vector<conditional_write> writes;
};

// Guards against a record that expires while streams may still be resumed.
TEST(mixed_service_records_test, RenewsARecordWhileItsServiceIsMixed) {
  recording_store store;
  mixed_service_records records("mixed/", store);
  const std::vector<std::string> mixed{"s"};
  records.OnTick(kNow, mixed);
  records.OnTick(kNow + seconds(1), mixed);
  ASSERT_EQ(store.writes.size(), 1U);
  EXPECT_TRUE(store.writes[0].key.starts_with("mixed/"));
  EXPECT_EQ(store.writes[0].value, "s");
  EXPECT_EQ(store.writes[0].lease, 3U);
  EXPECT_FALSE(store.writes[0].expected);
  records.OnTick(kNow + kMaxStreamTime, mixed);
  EXPECT_EQ(store.writes.size(), 2U);
}

TEST(mixed_service_records_test, RetriesAFailedWriteSoon) {
  recording_store store;
  store.status = store_status::kUnknown;
  mixed_service_records records("mixed/", store);
  const std::vector<std::string> mixed{"s"};
  records.OnTick(kNow, mixed);
  records.OnTick(kNow + seconds(1), mixed);
  EXPECT_EQ(store.writes.size(), 1U);
  records.OnTick(kNow + seconds(2), mixed);
  EXPECT_EQ(store.writes.size(), 2U);
}

}  // namespace
}  // namespace cuminswitch
