// Decoding of the operators', the upstreams' and the daemons' store items.
#include "platform/document_decoder.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "cuminswitch/Log/event_log.h"

namespace cuminswitch::platform {
namespace {

constexpr char kConfiguration[] = R"({"version":7,"routes":[
 {"name":"r1","host":"h","path-prefix":"/a/","kind":"stream","timeout-ms":5000,
  "goal-ms":800,"priority":1,"split":[{"backend":"s1","weight":90},
  {"backend":"s2","weight":10}],"attempts":1,"public":false,"sticky":true,
  "can-resume":false,"gap-aim-ms":500},
 {"name":"r2","host":"h","path-prefix":"/b/","kind":"stream","backend":"s1",
  "can-resume":true,"attempts":2},
 {"name":"r3","host":"h","path-prefix":"/c/","kind":"idempotent","backend":"s2"},
 {"name":"r4","host":"h","path-prefix":"/d/","kind":"non_idempotent",
  "backend":"s2"}],
 "services":[{"name":"s1","max-conns":370,"engine":{"slots":64,"hold-ms":2000.0,
  "token-kv-bytes":163840,"link-mbps":530000.0,"models":[{"name":"m"}]}},
  {"name":"s2","max-conns":110},
  {"name":"s3","kv-store-addr":"172.20.0.2:8781"}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
  "header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"t","api-keys":["k1","k2"],"priority":1,"isolated":true}]})";

class document_decoder_test : public testing::Test {
 protected:
  void Put(const std::string& key, const std::string& value) {
    ++revision_;
    Apply({.key = key, .value = value, .revision = revision_});
  }
  void Remove(const std::string& key) {
    ++revision_;
    Apply({.key = key, .value = std::nullopt, .revision = revision_});
  }
  void Apply(const item_change& change) {
    for (const std::string& key :
         view_.ApplyChanges(std::span(&change, 1), revision_)) {
      changed_.push_back(key);
    }
  }

  /// The decoded state of all items, accumulated over the decoder's results.
  struct full_snapshot : fleet_snapshot {
    std::vector<upstream_entry> upstreams;
    std::vector<std::string> unreadable_upstreams;
  };

  /// Decodes the changed items; returns null if the decoder reports no change.
  std::shared_ptr<const full_snapshot> Decode() {
    const decoded_items decoded =
        decoder_.Decode(view_, std::exchange(changed_, {}));
    if (decoded.snapshot == nullptr && decoded.upstreams.empty()) {
      return nullptr;
    }
    if (decoded.snapshot != nullptr) {
      static_cast<fleet_snapshot&>(snapshot_) = *decoded.snapshot;
    }
    for (const upstream_entry_update& update : decoded.upstreams) {
      std::erase_if(snapshot_.upstreams, [&](const upstream_entry& entry) {
        return entry.id == update.id;
      });
      std::erase(snapshot_.unreadable_upstreams, update.id);
      if (update.entry != nullptr) {
        snapshot_.upstreams.push_back(*update.entry);
      } else if (update.is_unreadable) {
        snapshot_.unreadable_upstreams.push_back(update.id);
      }
    }
    std::sort(snapshot_.upstreams.begin(), snapshot_.upstreams.end(),
              [](const upstream_entry& a, const upstream_entry& b) {
                return a.id < b.id;
              });
    return std::make_shared<const full_snapshot>(snapshot_);
  }

  event_log log_{{.descriptor = -1}};
  document_decoder decoder_{log_};
  item_view view_;
  revision_number revision_ = 0;
  std::vector<std::string> changed_;
  full_snapshot snapshot_;
};

TEST_F(document_decoder_test, ReadsRoutingConfig) {
  Put("op/config", kConfiguration);
  const auto snapshot = Decode();
  ASSERT_NE(snapshot, nullptr);
  const routing_config& config = *snapshot->config;
  EXPECT_EQ(config.version, 7U);
  EXPECT_EQ(config.FindRoute("h", "/a/x")->kind, request_kind::kStream);
  EXPECT_EQ(config.FindRoute("h", "/a/x")->shares.size(), 2U);
  EXPECT_EQ(config.FindRoute("h", "/b/x")->kind,
            request_kind::kResumableStream);
  EXPECT_EQ(config.FindRoute("h", "/b/x")->max_attempts, 2U);
  EXPECT_EQ(config.FindRoute("h", "/c/x")->kind, request_kind::kRepeatable);
  EXPECT_EQ(config.FindRoute("h", "/d/x")->kind, request_kind::kOnce);
  EXPECT_TRUE(config.FindService("s1")->is_engine);
  EXPECT_EQ(config.FindService("s1")->max_reservation, std::chrono::seconds(2));
  EXPECT_GT(config.FindService("s1")->copy_rate, 400'000);
  EXPECT_FALSE(config.FindService("s2")->is_engine);
  ASSERT_TRUE(config.FindService("s3")->cache_store.has_value());
  EXPECT_EQ(config.FindService("s3")->cache_store->address,
            (endpoint{"172.20.0.2", 8781}));
  EXPECT_TRUE(config.FindWorkspace("k2")->is_isolated);
  EXPECT_EQ(config.idle_timeout, std::chrono::seconds(15));
}

// Guards against dropping all routes when the configuration item is malformed.
TEST_F(document_decoder_test, MalformedConfigKeepsLastState) {
  Put("op/config", kConfiguration);
  Decode();
  Put("op/config", "{\"version\":8");
  const auto snapshot = Decode();
  EXPECT_EQ(snapshot->config->version, 7U);
}

TEST_F(document_decoder_test, TracksUpstreamChanges) {
  Put("servers/i-1",
      R"({"backend":"s1","address":"10.0.0.9:80","zone":"z","version":"v1",
          "slots":64,"state":"ready","cold-left-ms":0,
          "models":[{"name":"m","version":3,"adapters":[]}],"seq":4})");
  auto snapshot = Decode();
  ASSERT_EQ(snapshot->upstreams.size(), 1U);
  EXPECT_EQ(snapshot->upstreams[0].id, "i-1");
  EXPECT_EQ(snapshot->upstreams[0].weights[0].version, 3U);
  EXPECT_EQ(snapshot->upstreams[0].software_version, "v1");
  EXPECT_FALSE(snapshot->upstreams[0].is_draining);
  Put("servers/i-1",
      R"({"backend":"s1","address":"10.0.0.9:80","zone":"z","version":"v1",
          "slots":64,"state":"draining","cold-left-ms":0,"seq":5})");
  EXPECT_TRUE(Decode()->upstreams[0].is_draining);
  Remove("servers/i-1");
  EXPECT_TRUE(Decode()->upstreams.empty());
  EXPECT_EQ(Decode(), nullptr) << "nothing has changed";
}

// Upstreams renew their items periodically. Treating each renewal as a change
// made all daemons request the item and visit every upstream.
TEST_F(document_decoder_test, RenewedEntryIsNoChange) {
  const std::string begin =
      R"({"backend":"s1","address":"10.0.0.9:80","zone":"z","version":"v1",
          "slots":64,"state":"ready","cold-left-ms":0,"seq":)";
  Put("servers/i-1", begin + "4}");
  const upstream_entry first = Decode()->upstreams.at(0);
  Put("servers/i-1", begin + "5}");
  const decoded_items decoded =
      decoder_.Decode(view_, std::exchange(changed_, {}));
  EXPECT_TRUE(decoded.changed_keys.empty());
  EXPECT_TRUE(decoded.upstreams.empty());
  EXPECT_EQ(decoded.snapshot, nullptr);
  Put("servers/i-1",
      R"({"backend":"s1","address":"10.0.0.9:80","zone":"z","version":"v1",
          "slots":64,"state":"draining","cold-left-ms":0,"seq":6})");
  const upstream_entry last = Decode()->upstreams.at(0);
  EXPECT_GT(last.revision, first.revision);
}

/// Returns an upstream's entry with \p field set to \p value, or without that
/// field if \p value is empty.
std::string UpstreamWith(const std::string& field = {},
                         const std::string& value = {}) {
  std::map<std::string, std::string> fields = {
      {"backend", R"("s1")"},   {"address", R"("10.0.0.9:80")"},
      {"zone", R"("z")"},       {"version", R"("v1")"},
      {"slots", "64"},          {"state", R"("ready")"},
      {"cold-left-ms", "0"},    {"seq", "4"},
      {"born", "1700000000000"}};
  if (value.empty()) {
    fields.erase(field);
  } else {
    fields[field] = value;
  }
  std::string text;
  for (const auto& [name, content] : fields) {
    text.append(text.empty() ? "{" : ",");
    text.append("\"").append(name).append("\":").append(content);
  }
  return text + "}";
}

// Guards against sending requests to an address that now belongs to another
// service: a well-formed upstream entry is overwritten with bytes that no
// upstream writes, and the decoder keeps the entry before it.
TEST_F(document_decoder_test, MalformedEntryMakesUpstreamUnreadable) {
  const std::vector<std::string> malformed = {
      "",
      "{",
      "[]",
      "null",
      "\xff\xfe{}",
      std::string(100'000, '['),
      UpstreamWith("backend"),
      UpstreamWith("address"),
      UpstreamWith("zone"),
      UpstreamWith("version"),
      UpstreamWith("slots"),
      UpstreamWith("state"),
      UpstreamWith("cold-left-ms"),
      UpstreamWith("seq"),
      UpstreamWith("backend", "7"),
      UpstreamWith("address", R"("nowhere")"),
      UpstreamWith("zone", "null"),
      UpstreamWith("slots", "-1"),
      UpstreamWith("slots", "0"),
      UpstreamWith("slots", "64.5"),
      UpstreamWith("slots", "1e300"),
      UpstreamWith("slots", R"("64")"),
      UpstreamWith("state", R"("sleeping")"),
      UpstreamWith("seq", "-4"),
      UpstreamWith("born", "1.5"),
      UpstreamWith("born", "-1"),
      UpstreamWith("born", R"("1700000000000")"),
      UpstreamWith("models", "7"),
      UpstreamWith("models", R"([{"name":"m"}])"),
      UpstreamWith("models", R"([{"name":"m","version":-1}])")};
  for (const std::string& value : malformed) {
    Put("servers/i-1", UpstreamWith("seq", "4"));
    Put("servers/i-2", UpstreamWith("seq", "4"));
    ASSERT_EQ(Decode()->upstreams.size(), 2U);
    Put("servers/i-1", value);
    const auto snapshot = Decode();
    ASSERT_EQ(snapshot->upstreams.size(), 1U) << value.substr(0, 200);
    EXPECT_EQ(snapshot->upstreams[0].id, "i-2");
    EXPECT_EQ(snapshot->unreadable_upstreams, std::vector<std::string>{"i-1"});
  }
  Put("servers/i-1", UpstreamWith("seq", "4"));
  const auto snapshot = Decode();
  EXPECT_EQ(snapshot->upstreams.size(), 2U);
  EXPECT_TRUE(snapshot->unreadable_upstreams.empty());
}

// Guards against treating every engine as outdated, so that none may serve: a
// foreign writer publishes version -1 of a model, which converts to the
// greatest possible version.
TEST_F(document_decoder_test, MalformedWeightsVersionKeepsLastState) {
  Put("op/version/m", R"({"model":"m","version":2})");
  Decode();
  for (const char* value :
       {R"({"model":"m","version":-1})", R"({"model":"m","version":1e300})",
        R"({"model":"m"})", R"({"version":9})", "\xff", ""}) {
    Put("op/version/m", value);
    const auto snapshot = Decode();
    ASSERT_EQ(snapshot->wanted_weights.size(), 1U) << value;
    EXPECT_EQ(snapshot->wanted_weights[0].version, 2U) << value;
  }
}

// Guards against omitting a daemon that is alive: its record is overwritten
// with bytes that are not an address.
TEST_F(document_decoder_test, MalformedDaemonRecordKeepsLastState) {
  Put(std::string(kDaemonsPrefix) + "d1", "10.0.0.1:70");
  Put(std::string(kDaemonsPrefix) + "d2", "10.0.0.2:70");
  Put(std::string(kDaemonsPrefix) + "d1", "\xff");
  EXPECT_EQ(Decode()->daemons.size(), 1U);
  Put(std::string(kDaemonsPrefix) + "d1", "10.0.0.1:70");
  EXPECT_EQ(Decode()->daemons.size(), 2U);
  Put(std::string(kDaemonsPrefix) + "d1", "\xff");
  EXPECT_EQ(Decode()->daemons.size(), 2U);
}

// Guards against sending requests to an address where nothing listens any more:
// an upstream restarts under its id at another address, a delayed write of its
// earlier start arrives afterwards, and the last write wins instead of the
// latest start.
TEST_F(document_decoder_test, IgnoresLateWriteOfEarlierStart) {
  Put("servers/i-1", UpstreamWith("born", "1000"));
  EXPECT_EQ(Decode()->upstreams[0].started, 1000U);
  Put("servers/i-1", UpstreamWith("born", "2000"));
  EXPECT_EQ(Decode()->upstreams[0].started, 2000U);
  Put("servers/i-1", UpstreamWith("born", "1000"));
  EXPECT_EQ(Decode(), nullptr);
  Remove("servers/i-1");
  EXPECT_TRUE(Decode()->upstreams.empty());
  Put("servers/i-1", UpstreamWith("born", "1000"));
  EXPECT_EQ(Decode(), nullptr)
      << "a write of an earlier start restored a removed upstream";
}

// Guards against requests to an upstream that drains or has left: the store
// carries out a heartbeat only after a later one of the same start.
TEST_F(document_decoder_test, IgnoresLateWriteOfSameStart) {
  const auto write = [this](const char* state, const char* sequence) {
    std::string entry = UpstreamWith("seq", sequence);
    const std::string ready = R"("ready")";
    entry.replace(entry.find(ready), ready.size(), state);
    Put("servers/i-1", entry);
  };
  write(R"("ready")", "4");
  write(R"("draining")", "6");
  EXPECT_TRUE(Decode()->upstreams[0].is_draining);
  write(R"("ready")", "5");
  EXPECT_EQ(Decode(), nullptr);
  Remove("servers/i-1");
  EXPECT_TRUE(Decode()->upstreams.empty());
  write(R"("ready")", "5");
  EXPECT_EQ(Decode(), nullptr) << "a late write restored a removed upstream";
}

// Guards against a living upstream that stays hidden because another party
// wrote one entry under its id, with a start or a number that the upstream
// never reaches, or had a start that the upstream does not state.
TEST_F(document_decoder_test, RenewalsOutlastAnotherPartysWrite) {
  constexpr int kHeartbeats = 20;
  const std::string born = "\"born\":1700000000000";
  const std::string address = "10.0.0.9:80";
  const auto heartbeat = [&](int sequence, bool has_start) {
    std::string entry = UpstreamWith("seq", std::to_string(sequence));
    if (!has_start) {
      entry.erase(entry.find("\"born\""), born.size() + 1);
    }
    return entry;
  };
  std::string other = UpstreamWith("born", "18446744073709551615");
  other.replace(other.find(address), address.size(), "10.0.0.1:9");
  std::string draining = UpstreamWith("seq", "18446744073709551615");
  draining.replace(draining.find("ready"), 5, "draining");
  for (const bool has_start : {true, false}) {
    for (const std::string& odd : {other, draining}) {
      const std::string key = "servers/i-" + std::to_string(revision_);
      Put(key, heartbeat(1, has_start));
      Decode();
      Put(key, odd);
      Decode();
      const auto find = [&] {
        const auto& all = snapshot_.upstreams;
        const auto found = std::find_if(all.begin(), all.end(),
                                        [&](const upstream_entry& item) {
                                          return "servers/" + item.id == key;
                                        });
        return found != all.end() && found->address.address == "10.0.0.9" &&
               !found->is_draining;
      };
      EXPECT_FALSE(find());
      int needed = 0;
      while (!find() && needed < kHeartbeats) {
        ++needed;
        Put(key, heartbeat(1 + needed, has_start));
        Decode();
      }
      EXPECT_EQ(needed, 9) << odd;
    }
  }
}

// Guards against requests to an upstream that has left: all its writes that are
// under way may be carried out late, one after the other.
TEST_F(document_decoder_test, LateWritesOfSameStartStayIgnored) {
  Put("servers/i-1", UpstreamWith("seq", "20"));
  Decode();
  Remove("servers/i-1");
  Decode();
  for (int sequence = 10; sequence < 18; ++sequence) {
    Put("servers/i-1", UpstreamWith("seq", std::to_string(sequence)));
    EXPECT_EQ(Decode(), nullptr) << sequence;
  }
}

// Guards against ignoring an upstream that restarts under its id, whose counter
// starts anew, and one whose id another writer has used.
TEST_F(document_decoder_test, EachStartAndWriterCountsItsWrites) {
  Put("servers/i-1", UpstreamWith("seq", "90"));
  Decode();
  Put("servers/i-1", R"({"backend":"other","address":"10.0.0.9:80","zone":"z",
      "version":"v1","slots":64,"state":"ready","cold-left-ms":0,"seq":1,
      "born":1700000000000})");
  EXPECT_EQ(Decode()->upstreams.at(0).service, "other");
  std::string restarted = UpstreamWith("born", "1700000000001");
  restarted.replace(restarted.find("\"seq\":4"), 7, "\"seq\":1");
  Put("servers/i-1", restarted);
  EXPECT_EQ(Decode()->upstreams.at(0).started, 1700000000001U);
}

TEST_F(document_decoder_test, EntryThatLosesItsStartTimeIsUnreadable) {
  Put("servers/i-1", UpstreamWith("born"));
  EXPECT_EQ(Decode()->upstreams.size(), 1U);
  Put("servers/i-1", UpstreamWith("born", "1000"));
  EXPECT_EQ(Decode()->upstreams.size(), 1U);
  Put("servers/i-1", UpstreamWith("born"));
  EXPECT_TRUE(Decode()->upstreams.empty());
}

TEST_F(document_decoder_test, TracksWeightsDaemonsAndLeader) {
  Put("op/version/m", R"({"model":"m","version":2})");
  Put(std::string(kDaemonsPrefix) + "d1", "10.0.0.1:70");
  Put(kLeaderKey, "d1");
  auto snapshot = Decode();
  EXPECT_EQ(snapshot->wanted_weights[0].version, 2U);
  EXPECT_EQ(snapshot->daemons[0].name, "d1");
  EXPECT_EQ(snapshot->leader, "d1");
  Remove(kLeaderKey);
  EXPECT_EQ(Decode()->leader, "");
}

/// Returns the configuration with \p fields in place of its workspace's
/// `isolated` field.
std::string WithWorkspace(const std::string& fields) {
  std::string text = kConfiguration;
  const std::string from = "\"isolated\":true";
  text.replace(text.find(from), from.size(), fields);
  return text;
}

TEST_F(document_decoder_test, TracksQuarantinedRequests) {
  const hash128 request{.high = 0xab, .low = 0xcd};
  Put(kQuarantinePrefix + ToHex(request), "d1");
  Put(std::string(kQuarantinePrefix) + "nonsense", "d1");
  EXPECT_EQ(Decode()->quarantined, std::vector{request});
  Remove(kQuarantinePrefix + ToHex(request));
  EXPECT_TRUE(Decode()->quarantined.empty());
}

TEST_F(document_decoder_test, TracksMixedServices) {
  const std::string key = std::string(kMixedServicesPrefix) + "ab";
  Put(key, "s1");
  EXPECT_EQ(Decode()->mixed_services, std::vector<std::string>{"s1"});
  Remove(key);
  EXPECT_TRUE(Decode()->mixed_services.empty());
}

TEST_F(document_decoder_test, TracksAdvertisedLimits) {
  Put(kLimitsKey, EncodePeerFrame(limit_record_frame{
                      .rejection_limits = {{.upstream = 7, .rate = 2}}}));
  EXPECT_EQ(Decode()->limits.rejection_limits.at(0).upstream, 7U);
  Put(kLimitsKey, "nonsense");
  EXPECT_FALSE(Decode()->limits.IsEmpty()) << "the last valid value stays";
  Remove(kLimitsKey);
  EXPECT_TRUE(Decode()->limits.IsEmpty());
}

// Guards against snapshots that grow, and are published anew, with each record.
TEST_F(document_decoder_test, ReadsOriginsOnlyForTheFirstSnapshot) {
  const auto value = [](uint64_t stream) {
    return EncodePeerFrame(
        origin_record_frame{.origins = {{.stream = stream, .software = 5}}});
  };
  const std::string prefix = kOriginsPrefix;
  Put(prefix + "d1/1/0", value(1));
  Put(prefix + "d1/1/1", value(2));
  Put(prefix + "d1/1/2", "nonsense");
  Put(kLeaderKey, "d1");
  EXPECT_EQ(Decode()->stream_origins.size(), 2U);
  Put(prefix + "d1/1/3", value(3));
  EXPECT_EQ(Decode(), nullptr);
  Put(kLeaderKey, "d2");
  EXPECT_TRUE(Decode()->stream_origins.empty());
}

TEST_F(document_decoder_test, TracksPublications) {
  const std::string key = std::string(kPublicationsPrefix) + "ab";
  Put(key, "3900 1 2 s1/m");
  Put(std::string(kPublicationsPrefix) + "cd", "nonsense");
  const publication_report record{.target = "s1/m",
                                  .version = "2",
                                  .superseded = "1",
                                  .age = std::chrono::milliseconds(3900)};
  EXPECT_EQ(Decode()->publications, std::vector{record});
  Remove(key);
  EXPECT_TRUE(Decode()->publications.empty());
}

TEST_F(document_decoder_test, ReadsQuota) {
  Put("op/config", WithWorkspace("\"unit\":\"tokens\",\"rate-per-s\":500,"
                                 "\"burst\":700,\"uncached-tokens\":200"));
  const auto snapshot = Decode();
  const auto& quota = snapshot->config->workspaces.front().quota;
  ASSERT_TRUE(quota.has_value());
  EXPECT_EQ(quota->rate, 500);
  EXPECT_EQ(quota->burst, 700);
  EXPECT_EQ(quota->unit, quota_unit::kTokens);
  EXPECT_EQ(quota->uncounted_tokens, 200);
}

TEST_F(document_decoder_test, ZeroOrMissingRateIsNoLimit) {
  for (const char* fields :
       {"\"isolated\":true", "\"rate-per-s\":0,\"burst\":9",
        "\"rate-per-s\":null"}) {
    Put("op/config", WithWorkspace(fields));
    const auto snapshot = Decode();
    EXPECT_FALSE(snapshot->config->workspaces.front().quota) << fields;
  }
}

// Guards against reading a malformed quota as no limit: after a mistake in its
// quota, a workspace could use the engine capacity of all others.
TEST_F(document_decoder_test, MalformedQuotaKeepsLastConfig) {
  Put("op/config", WithWorkspace("\"rate-per-s\":500"));
  const auto before = Decode();
  for (const char* fields :
       {"\"rate-per-s\":-1", "\"rate-per-s\":\"many\"",
        "\"rate-per-s\":5,\"burst\":-2", "\"unit\":\"bytes\""}) {
    Put("op/config", WithWorkspace(fields));
    const auto snapshot = Decode();
    ASSERT_NE(snapshot, nullptr) << fields;
    EXPECT_EQ(snapshot->config, before->config) << fields;
  }
}

}  // namespace
}  // namespace cuminswitch::platform
