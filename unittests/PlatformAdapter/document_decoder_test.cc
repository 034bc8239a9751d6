// The operators' and the upstreams' items.
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
 "services":[{"name":"s1","max-conns":370,"engine":{"slots":64,
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

  /// All that is known, put together from what the decoder told.
  struct all_known : fleet_snapshot {
    std::vector<upstream_entry> upstreams;
    std::vector<std::string> unreadable_upstreams;
  };

  /// Returns null where the decoder says that nothing changed.
  std::shared_ptr<const all_known> Decode() {
    const decoded_items decoded =
        decoder_.Decode(view_, std::exchange(changed_, {}));
    if (decoded.snapshot == nullptr && decoded.upstreams.empty()) {
      return nullptr;
    }
    if (decoded.snapshot != nullptr) {
      static_cast<fleet_snapshot&>(known_) = *decoded.snapshot;
    }
    for (const upstream_entry_update& news : decoded.upstreams) {
      std::erase_if(known_.upstreams, [&](const upstream_entry& entry) {
        return entry.id == news.id;
      });
      std::erase(known_.unreadable_upstreams, news.id);
      if (news.entry != nullptr) {
        known_.upstreams.push_back(*news.entry);
      } else if (news.is_unreadable) {
        known_.unreadable_upstreams.push_back(news.id);
      }
    }
    std::sort(known_.upstreams.begin(), known_.upstreams.end(),
              [](const upstream_entry& a, const upstream_entry& b) {
                return a.id < b.id;
              });
    return std::make_shared<const all_known>(known_);
  }

  event_log log_{{.descriptor = -1}};
  document_decoder decoder_{log_};
  item_view view_;
  revision_number revision_ = 0;
  std::vector<std::string> changed_;
  all_known known_;
};

TEST_F(document_decoder_test, ReadsAConfiguration) {
  Put("op/config", kConfiguration);
  const auto knowledge = Decode();
  ASSERT_NE(knowledge, nullptr);
  const routing_config& plan = *knowledge->config;
  EXPECT_EQ(plan.version, 7U);
  EXPECT_EQ(plan.FindRoute("h", "/a/x")->kind, request_kind::kStream);
  EXPECT_EQ(plan.FindRoute("h", "/a/x")->shares.size(), 2U);
  EXPECT_EQ(plan.FindRoute("h", "/b/x")->kind, request_kind::kResumableStream);
  EXPECT_EQ(plan.FindRoute("h", "/b/x")->max_attempts, 2U);
  EXPECT_EQ(plan.FindRoute("h", "/c/x")->kind, request_kind::kRepeatable);
  EXPECT_EQ(plan.FindRoute("h", "/d/x")->kind, request_kind::kOnce);
  EXPECT_TRUE(plan.FindService("s1")->is_engine);
  EXPECT_GT(plan.FindService("s1")->copy_rate, 400'000);
  EXPECT_FALSE(plan.FindService("s2")->is_engine);
  ASSERT_TRUE(plan.FindService("s3")->cache_store.has_value());
  EXPECT_EQ(plan.FindService("s3")->cache_store->address,
            (endpoint{"172.20.0.2", 8781}));
  EXPECT_TRUE(plan.FindWorkspace("k2")->is_isolated);
  EXPECT_EQ(plan.idle_timeout, std::chrono::seconds(15));
}

// Symptom: a daemon drops all routes.
// Sequence: an item cannot be read.
TEST_F(document_decoder_test, WhatCannotBeReadKeepsItsLastState) {
  Put("op/config", kConfiguration);
  Decode();
  Put("op/config", "{\"version\":8");
  const auto knowledge = Decode();
  EXPECT_EQ(knowledge->config->version, 7U);
}

TEST_F(document_decoder_test, FollowsUpstreams) {
  Put("servers/i-1",
      R"({"backend":"s1","address":"10.0.0.9:80","zone":"z","version":"v1",
          "slots":64,"state":"ready","cold-left-ms":0,
          "models":[{"name":"m","version":3,"adapters":[]}],"seq":4})");
  auto knowledge = Decode();
  ASSERT_EQ(knowledge->upstreams.size(), 1U);
  EXPECT_EQ(knowledge->upstreams[0].id, "i-1");
  EXPECT_EQ(knowledge->upstreams[0].weights[0].version, 3U);
  EXPECT_FALSE(knowledge->upstreams[0].is_draining);
  Put("servers/i-1",
      R"({"backend":"s1","address":"10.0.0.9:80","zone":"z","version":"v1",
          "slots":64,"state":"draining","cold-left-ms":0,"seq":5})");
  EXPECT_TRUE(Decode()->upstreams[0].is_draining);
  Remove("servers/i-1");
  EXPECT_TRUE(Decode()->upstreams.empty());
  EXPECT_EQ(Decode(), nullptr) << "nothing has changed";
}

// Upstreams renew their items all the time; each renewal had all daemons ask
// for it and look at every upstream.
TEST_F(document_decoder_test, ARenewedEntryIsNoNews) {
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

/// An upstream's entry with \p field set to \p value, or without it.
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

// Symptom: requests go to an address that another service has by now.
// Sequence: an upstream's entry is good; then something else writes bytes there
// that no upstream writes.
// Cause: an entry that could not be read kept the state before it.
TEST_F(document_decoder_test, AnEntryByAnotherWriterNamesNoUpstream) {
  const std::vector<std::string> foreign = {
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
  for (const std::string& value : foreign) {
    Put("servers/i-1", UpstreamWith("seq", "4"));
    Put("servers/i-2", UpstreamWith("seq", "4"));
    ASSERT_EQ(Decode()->upstreams.size(), 2U);
    Put("servers/i-1", value);
    const auto knowledge = Decode();
    ASSERT_EQ(knowledge->upstreams.size(), 1U) << value.substr(0, 200);
    EXPECT_EQ(knowledge->upstreams[0].id, "i-2");
    EXPECT_EQ(knowledge->unreadable_upstreams, std::vector<std::string>{"i-1"});
  }
  Put("servers/i-1", UpstreamWith("seq", "4"));
  const auto knowledge = Decode();
  EXPECT_EQ(knowledge->upstreams.size(), 2U);
  EXPECT_TRUE(knowledge->unreadable_upstreams.empty());
}

// Symptom: every engine counts as outdated, and none may serve.
// Sequence: another writer names version -1 of a model.
// Cause: converted, it is the greatest version that there can be.
TEST_F(document_decoder_test, ANamingByAnotherWriterChangesNothing) {
  Put("op/version/m", R"({"model":"m","version":2})");
  Decode();
  for (const char* value :
       {R"({"model":"m","version":-1})", R"({"model":"m","version":1e300})",
        R"({"model":"m"})", R"({"version":9})", "\xff", ""}) {
    Put("op/version/m", value);
    const auto knowledge = Decode();
    ASSERT_EQ(knowledge->wanted_weights.size(), 1U) << value;
    EXPECT_EQ(knowledge->wanted_weights[0].version, 2U) << value;
  }
}

// Symptom: a daemon that is alive is left out.
// Sequence: a daemon's record is overwritten with bytes that are no address.
TEST_F(document_decoder_test, AMemberByAnotherWriterTakesNoneAway) {
  Put(std::string(kDaemonsPrefix) + "d1", "10.0.0.1:70");
  Put(std::string(kDaemonsPrefix) + "d2", "10.0.0.2:70");
  Put(std::string(kDaemonsPrefix) + "d1", "\xff");
  EXPECT_EQ(Decode()->daemons.size(), 1U);
  Put(std::string(kDaemonsPrefix) + "d1", "10.0.0.1:70");
  EXPECT_EQ(Decode()->daemons.size(), 2U);
  Put(std::string(kDaemonsPrefix) + "d1", "\xff");
  EXPECT_EQ(Decode()->daemons.size(), 2U);
}

// Symptom: requests go to an address where nothing listens any more.
// Sequence: an upstream starts again under its id, at another address; a write
// of its earlier start, held up on the way, arrives afterwards.
// Cause: the last write won, not the latest start.
TEST_F(document_decoder_test, ALateWriteOfAnEarlierStartChangesNothing) {
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
      << "what had gone came back with an earlier start's write";
}

TEST_F(document_decoder_test, AnEntryThatTellsNoStartAnyMoreIsForeign) {
  Put("servers/i-1", UpstreamWith("born"));
  EXPECT_EQ(Decode()->upstreams.size(), 1U);
  Put("servers/i-1", UpstreamWith("born", "1000"));
  EXPECT_EQ(Decode()->upstreams.size(), 1U);
  Put("servers/i-1", UpstreamWith("born"));
  EXPECT_TRUE(Decode()->upstreams.empty());
}

TEST_F(document_decoder_test, FollowsNamedWeightsDaemonsAndTheLeader) {
  Put("op/version/m", R"({"model":"m","version":2})");
  Put(std::string(kDaemonsPrefix) + "d1", "10.0.0.1:70");
  Put(kLeaderKey, "d1");
  auto knowledge = Decode();
  EXPECT_EQ(knowledge->wanted_weights[0].version, 2U);
  EXPECT_EQ(knowledge->daemons[0].name, "d1");
  EXPECT_EQ(knowledge->leader, "d1");
  Remove(kLeaderKey);
  EXPECT_EQ(Decode()->leader, "");
}

/// The configuration with other fields of its workspace.
std::string WithWorkspace(const std::string& fields) {
  std::string text = kConfiguration;
  const std::string from = "\"isolated\":true";
  text.replace(text.find(from), from.size(), fields);
  return text;
}

TEST_F(document_decoder_test, FollowsQuarantinedRequests) {
  const hash128 request{.high = 0xab, .low = 0xcd};
  Put(kQuarantinePrefix + ToHex(request), "d1");
  Put(std::string(kQuarantinePrefix) + "nonsense", "d1");
  EXPECT_EQ(Decode()->quarantined, std::vector{request});
  Remove(kQuarantinePrefix + ToHex(request));
  EXPECT_TRUE(Decode()->quarantined.empty());
}

TEST_F(document_decoder_test, ReadsAQuota) {
  Put("op/config", WithWorkspace("\"unit\":\"tokens\",\"rate-per-s\":500,"
                                 "\"burst\":700,\"uncached-tokens\":200"));
  const auto knowledge = Decode();
  const auto& quota = knowledge->config->workspaces.front().quota;
  ASSERT_TRUE(quota.has_value());
  EXPECT_EQ(quota->rate, 500);
  EXPECT_EQ(quota->burst, 700);
  EXPECT_EQ(quota->unit, quota_unit::kTokens);
  EXPECT_EQ(quota->uncounted_tokens, 200);
}

TEST_F(document_decoder_test, ARateOfNothingIsNoLimit) {
  for (const char* fields :
       {"\"isolated\":true", "\"rate-per-s\":0,\"burst\":9",
        "\"rate-per-s\":null"}) {
    Put("op/config", WithWorkspace(fields));
    const auto knowledge = Decode();
    EXPECT_FALSE(knowledge->config->workspaces.front().quota) << fields;
  }
}

// Symptom: after a mistake in one workspace's quota it has none, and uses the
// engines of all others.
// Cause: a limit that cannot be read was taken for no limit.
TEST_F(document_decoder_test, AnUnreadableQuotaLeavesTheConfigurationInForce) {
  Put("op/config", WithWorkspace("\"rate-per-s\":500"));
  const auto before = Decode();
  for (const char* fields :
       {"\"rate-per-s\":-1", "\"rate-per-s\":\"many\"",
        "\"rate-per-s\":5,\"burst\":-2", "\"unit\":\"bytes\""}) {
    Put("op/config", WithWorkspace(fields));
    const auto knowledge = Decode();
    ASSERT_NE(knowledge, nullptr) << fields;
    EXPECT_EQ(knowledge->config, before->config) << fields;
  }
}

}  // namespace
}  // namespace cuminswitch::platform
