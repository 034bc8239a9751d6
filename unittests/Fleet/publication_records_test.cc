// The records of recent publications of weights in the store.
#include "cuminswitch/Fleet/publication_records.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Log/event_log.h"
#include "idle_item_store.h"

namespace cuminswitch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Grants leases that are longer than requested, and records writes.
class generous_store : public idle_item_store {
 public:
  void Write(const conditional_write& write,
             std::function<void(store_write)> /*done*/) override {
    writes.push_back(write);
  }
  void GrantLease(milliseconds time_to_live,
                  std::function<void(store_lease)> done) override {
    requested.push_back(time_to_live);
    done({.status = lease_end,
          .lease = requested.size(),
          .time_to_live = time_to_live + milliseconds(100)});
  }

  store_status lease_end = store_status::kDone;
  std::vector<milliseconds> requested;
  std::vector<conditional_write> writes;
};

class publication_records_test : public testing::Test {
 protected:
  void Tick(const std::vector<publication_report>& stored = {}) {
    records_.OnTick(now_, witnessed_, stored);
  }

  time_point now_ = ReadBootClock();
  event_log log_{{}};
  generous_store store_;
  publication_records records_{{.prefix = "p/", .lifetime = seconds(4)},
                               store_,
                               log_};
  std::vector<weights_publication> witnessed_ = {
      {.target = "s/m",
       .version = "3",
       .superseded = "2",
       .since = now_ - milliseconds(1500)}};
};

TEST_F(publication_records_test, LeaseEndsAtTheSameAgeForAllRecords) {
  Tick();
  Tick();
  ASSERT_EQ(store_.writes.size(), 1U);
  EXPECT_EQ(store_.requested[0], milliseconds(2500));
  EXPECT_EQ(store_.writes[0].lease, 1U);
  const publication_report record =
      ParsePublicationRecord(store_.writes[0].value);
  EXPECT_EQ(record.target, "s/m");
  EXPECT_EQ(record.version, "3");
  EXPECT_EQ(record.superseded, "2");
  EXPECT_GE(record.age, milliseconds(4100)) << "the lease that was granted";
  now_ += seconds(1);
  Tick({record});
  EXPECT_EQ(store_.writes.size(), 1U);
}

TEST_F(publication_records_test, RetriesUntilTheRecordIsStored) {
  store_.lease_end = store_status::kRefused;
  Tick();
  EXPECT_TRUE(store_.writes.empty());
  store_.lease_end = store_status::kDone;
  now_ += milliseconds(700);
  Tick();
  EXPECT_EQ(store_.writes.size(), 1U);
}

// Guards against a record that outlives the bound, since the store grants no
// lease as short as the time that is left.
TEST_F(publication_records_test, RecordsNoPublicationNearItsBound) {
  now_ += milliseconds(1600);
  Tick();
  EXPECT_TRUE(store_.requested.empty());
}

// Guards against a record that its writer produces and no daemon can read.
TEST_F(publication_records_test, ReadsRecordsWithoutAVersion) {
  for (const publication_report& record : std::vector<publication_report>{
           {.target = "s/m", .superseded = "1", .age = seconds(4)},
           {.target = "s/m", .version = "1", .age = seconds(4)},
           {.target = "s/m", .age = seconds(4)}}) {
    EXPECT_EQ(ParsePublicationRecord(EncodePublicationRecord(record)), record);
  }
}

// Guards against a record of a foreign writer that ends the daemon.
TEST_F(publication_records_test, ReadsOrRejectsArbitraryBytes) {
  std::mt19937 random(1);
  constexpr std::string_view kBytes("0123456789 -.xs/\n\0\xff", 19);
  for (int round = 0; round < 20'000; ++round) {
    std::string value(random() % 24, ' ');
    for (char& byte : value) {
      byte = kBytes[random() % kBytes.size()];
    }
    try {
      const publication_report record = ParsePublicationRecord(value);
      EXPECT_EQ(ParsePublicationRecord(EncodePublicationRecord(record)), record)
          << value;
    } catch (const std::invalid_argument&) {
      continue;
    }
  }
}

TEST_F(publication_records_test, RejectsMalformedRecords) {
  for (const char* value : {"", "4000 2 3", "x 2 3 s/m", "-1 2 3 s/m",
                            "9223372036854775807 2 3 s/m"}) {
    EXPECT_THROW(ParsePublicationRecord(value), std::invalid_argument) << value;
  }
}

}  // namespace
}  // namespace cuminswitch
