// Stand-in for a language-model engine: OpenAI-style chat completions, a
// bounded prefix cache of block hashes, one prefill at a time, batched
// decoding, a delayed load report, and faults on demand.
//
//   POST /v1/chat/completions   429 when the queue is full, 412 for an outdated
//                               X-Fencing-Number with --checks-fencing
//   GET  /load                  the latest report, up to --load-lag-ms old
//   GET  /control/stats         {"requests", "prompt_tokens", ...}
//   POST /control?flush=1       empties the cache
//   POST /control?crash=1       aborts all streams and restarts with an empty
//                               cache under a new incarnation
//   POST /control?leave=1       reports that the engine is leaving
//   POST /control?version=V     loads other weights (takes 330 ms)
//
// The tokens of a response are `w<i>-<digest of the prompt>`, so that a caller
// can detect a stream that is truncated, reordered or another request's.
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <deque>
#include <list>

#include "StandIn/prefix_cache.h"
#include "StandIn/stand_in_main.h"
#include "cuminswitch/CommandLine/option_parser.h"
#include "cuminswitch/CommandLine/program.h"
#include "cuminswitch/Net/http_exchange.h"
#include "cuminswitch/Net/loop_timer.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {
namespace {

using clock = std::chrono::steady_clock;
using exchange_ptr = std::shared_ptr<http_exchange>;
using std::chrono::milliseconds;

constexpr std::string_view kJson = "application/json";
constexpr milliseconds kStep{1};
constexpr milliseconds kWeightsLoadTime{330};
constexpr uint32_t kDefaultTokens = 16;
constexpr uint32_t kMaxTokens = 4096;

struct engine_options {
  std::string model = "model";
  std::string version = "1";
  double prefill_rate = 8000;
  double decode_ms = 10;
  int slots = 16;
  int max_waiting = 64;
  int cache_blocks = 4096;
  int cache_keep_ms = 10'000;
  int load_lag_ms = 500;
  bool checks_fencing = false;
};

/// A request that is queued or executed.
struct job {
  exchange_ptr exchange;
  bool stream = false;
  std::vector<uint64_t> blocks;
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
  uint32_t max_tokens = kDefaultTokens;
  uint32_t sent_tokens = 0;
  std::string digest;
  std::string text;
  clock::time_point next_token;
};

class engine_stand_in : public http_request_handler {
 public:
  engine_stand_in(event_base* base, const engine_options& opts)
      : options_(opts),
        version_(opts.version),
        cache_({.capacity_blocks = static_cast<size_t>(opts.cache_blocks),
                .keep = milliseconds(opts.cache_keep_ms)}),
        incarnation_(MakeIncarnation()),
        timer_(base, [this] { Step(); }) {
    UpdateReport();
    timer_.Start(kStep);
  }

  void OnRequest(exchange_ptr exchange) override {
    const std::string_view path = exchange->Path();
    if (path == "/v1/chat/completions") {
      Accept(exchange);
    } else if (path == "/load") {
      ReplyLoad(*exchange);
    } else if (path == "/control/stats") {
      ReplyStats(*exchange);
    } else if (path == "/control") {
      Control(*exchange);
    } else {
      exchange->Reply(404, kJson, "{}");
    }
  }

 private:
  static uint64_t MakeIncarnation() {
    return static_cast<uint64_t>(
        std::chrono::system_clock::now().time_since_epoch().count());
  }

  static void Refuse(http_exchange& exchange, uint32_t status) {
    exchange.Reply(status, kJson, R"({"error":{"message":"refused"}})");
  }

  void Accept(const exchange_ptr& exchange) {
    const auto json = nlohmann::json::parse(exchange->Body(), nullptr, false);
    if (!json.is_object() || !json.contains("messages")) {
      Refuse(*exchange, 400);
      return;
    }
    if (json.value("model", std::string()) != options_.model) {
      Refuse(*exchange, 404);
      return;
    }
    if (static_cast<int>(waiting_.size()) >= options_.max_waiting) {
      Refuse(*exchange, 429);
      return;
    }
    if (!CheckFencing(*exchange)) {
      Refuse(*exchange, 412);
      return;
    }
    std::string text;
    for (const auto& message : json["messages"]) {
      text += message.value("content", std::string());
    }
    job item{.exchange = exchange, .stream = json.value("stream", false)};
    const uint64_t scope =
        Hash64(exchange->Header("X-Cache-Scope"), Hash64(version_));
    item.blocks = prefix_cache::HashBlocks(text, scope);
    item.prompt_tokens = std::max<uint32_t>(
        1, static_cast<uint32_t>(text.size()) / prefix_cache::kBytesPerToken);
    item.max_tokens =
        std::clamp(json.value("max_tokens", kDefaultTokens), 1U, kMaxTokens);
    item.digest = std::to_string(Hash64(text) % 1'000'000'007);
    ++requests_;
    waiting_.push_back(std::move(item));
  }

  bool CheckFencing(const http_exchange& exchange) {
    const std::string text = exchange.Header("X-Fencing-Number");
    if (!options_.checks_fencing || text.empty()) {
      return true;
    }
    uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    const bool current = number >= fencing_token_;
    fencing_token_ = std::max(fencing_token_, number);
    return current;
  }

  /// Advances the engine: finishes the current prefill, starts the next, and
  /// sends each running request the tokens that are due.
  void Step() {
    timer_.Start(kStep);
    const clock::time_point now = clock::now();
    if (prefilling_ && now >= prefill_until_) {
      FinishPrefill(now);
    }
    if (!prefilling_) {
      BeginPrefill(now);
    }
    for (auto it = running_.begin(); it != running_.end();) {
      if (it->exchange->IsClosed() || !Decode(*it, now)) {
        it = running_.erase(it);
      } else {
        ++it;
      }
    }
    if (now - reported_at_ >= milliseconds(options_.load_lag_ms)) {
      UpdateReport();
    }
    if (!next_version_.empty() && now >= version_switch_at_) {
      version_ = std::exchange(next_version_, std::string());
    }
  }

  void BeginPrefill(clock::time_point now) {
    while (!waiting_.empty() && waiting_.front().exchange->IsClosed()) {
      waiting_.pop_front();
    }
    if (waiting_.empty() ||
        static_cast<int>(running_.size()) >= options_.slots) {
      return;
    }
    job item = std::move(waiting_.front());
    waiting_.pop_front();
    item.cached_tokens = static_cast<uint32_t>(
        cache_.CountCached(item.blocks, now) * prefix_cache::kTokensPerBlock);
    item.cached_tokens = std::min(item.cached_tokens, item.prompt_tokens);
    prompt_tokens_ += item.prompt_tokens;
    cached_tokens_ += item.cached_tokens;
    const double seconds =
        (item.prompt_tokens - item.cached_tokens) / options_.prefill_rate;
    // Back-to-back prefills are timed from the end of the previous one, so that
    // the step length does not slow down a busy engine.
    const bool back_to_back = now - prefill_until_ < 2 * kStep;
    prefill_until_ = (back_to_back ? prefill_until_ : now) +
                     std::chrono::duration_cast<clock::duration>(
                         std::chrono::duration<double>(seconds));
    prefilling_ = std::make_unique<job>(std::move(item));
  }

  void FinishPrefill(clock::time_point now) {
    cache_.Store(prefilling_->blocks, now);
    prefilling_->next_token = now;
    running_.push_back(std::move(*prefilling_));
    prefilling_.reset();
  }

  double TokenMillis() const {
    const double load =
        static_cast<double>(running_.size()) / std::max(1, options_.slots);
    return options_.decode_ms * (1 + load);
  }

  /// Sends the tokens that are due; returns false when the request is done.
  bool Decode(job& item, clock::time_point now) {
    while (now >= item.next_token) {
      const std::string token =
          "w" + std::to_string(item.sent_tokens) + "-" + item.digest + " ";
      item.next_token +=
          std::chrono::microseconds(static_cast<int64_t>(TokenMillis() * 1000));
      ++item.sent_tokens;
      if (item.stream) {
        SendToken(item, token);
      } else {
        item.text += token;
      }
      if (item.sent_tokens == item.max_tokens) {
        Finish(item);
        return false;
      }
    }
    return true;
  }

  void SendToken(const job& item, const std::string& token) const {
    if (!item.exchange->HasBegun()) {
      item.exchange->BeginStream(200, "text/event-stream");
    }
    const nlohmann::json chunk = {{"object", "chat.completion.chunk"},
                                  {"model", options_.model},
                                  {"system_fingerprint", version_},
                                  {"choices",
                                   {{{"index", 0},
                                     {"delta", {{"content", token}}},
                                     {"finish_reason", nullptr}}}}};
    item.exchange->SendChunk("data: " + chunk.dump() + "\n\n");
  }

  static nlohmann::json MakeUsage(const job& item) {
    return {{"prompt_tokens", item.prompt_tokens},
            {"completion_tokens", item.sent_tokens},
            {"total_tokens", item.prompt_tokens + item.sent_tokens},
            {"prompt_tokens_details", {{"cached_tokens", item.cached_tokens}}}};
  }

  void Finish(const job& item) {
    if (item.stream) {
      const nlohmann::json last = {{"object", "chat.completion.chunk"},
                                   {"model", options_.model},
                                   {"choices", nlohmann::json::array()},
                                   {"usage", MakeUsage(item)}};
      item.exchange->SendChunk("data: " + last.dump() + "\n\ndata: [DONE]\n\n");
      item.exchange->EndStream();
      return;
    }
    const nlohmann::json response = {
        {"object", "chat.completion"},
        {"model", options_.model},
        {"system_fingerprint", version_},
        {"choices",
         {{{"index", 0},
           {"message", {{"role", "assistant"}, {"content", item.text}}},
           {"finish_reason", "stop"}}}},
        {"usage", MakeUsage(item)}};
    item.exchange->Reply(200, kJson, response.dump());
  }

  void UpdateReport() {
    reported_at_ = clock::now();
    report_ = {{"incarnation", incarnation_},
               {"running", running_.size() + (prefilling_ ? 1 : 0)},
               {"waiting", waiting_.size()},
               {"leaving", leaving_},
               {"models", {{{"name", options_.model}, {"version", version_}}}}};
  }

  void ReplyLoad(http_exchange& exchange) {
    nlohmann::json report = report_;
    report["age_ms"] =
        std::chrono::duration_cast<milliseconds>(clock::now() - reported_at_)
            .count();
    exchange.Reply(200, kJson, report.dump());
  }

  void ReplyStats(http_exchange& exchange) const {
    const nlohmann::json stats = {{"requests", requests_},
                                  {"prompt_tokens", prompt_tokens_},
                                  {"cached_tokens", cached_tokens_},
                                  {"cached_blocks", cache_.size()}};
    exchange.Reply(200, kJson, stats.dump() + "\n");
  }

  void Control(http_exchange& exchange) {
    if (!exchange.Parameter("flush").empty()) {
      cache_.Clear();
    }
    if (!exchange.Parameter("leave").empty()) {
      leaving_ = true;
    }
    if (!exchange.Parameter("crash").empty()) {
      Crash();
    }
    if (const std::string version = exchange.Parameter("version");
        !version.empty()) {
      next_version_ = version;
      version_switch_at_ = clock::now() + kWeightsLoadTime;
    }
    UpdateReport();
    exchange.Reply(200, kJson, "{}");
  }

  void Crash() {
    cache_.Clear();
    incarnation_ = MakeIncarnation();
    std::list<job> aborted = std::move(running_);
    running_.clear();
    for (job& item : waiting_) {
      aborted.push_back(std::move(item));
    }
    waiting_.clear();
    if (prefilling_) {
      aborted.push_back(std::move(*prefilling_));
      prefilling_.reset();
    }
    for (const job& item : aborted) {
      item.exchange->Abort();
    }
  }

  engine_options options_;
  std::string version_;
  std::string next_version_;
  clock::time_point version_switch_at_;
  prefix_cache cache_;
  uint64_t incarnation_;
  loop_timer timer_;
  std::deque<job> waiting_;
  std::unique_ptr<job> prefilling_;
  clock::time_point prefill_until_;
  std::list<job> running_;
  nlohmann::json report_;
  clock::time_point reported_at_;
  uint64_t fencing_token_ = 0;
  bool leaving_ = false;
  uint64_t requests_ = 0;
  uint64_t prompt_tokens_ = 0;
  uint64_t cached_tokens_ = 0;
};

int Main(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  engine_options opts;
  option_parser parser("engine_stand_in", "[OPTION...]");
  parser.AddString("listen", listen, "Where to listen", "ADDRESS");
  parser.AddString("model", opts.model, "Model that the engine serves");
  parser.AddString("version", opts.version, "Version of its weights");
  parser.AddNumber("prefill-rate", opts.prefill_rate,
                   "Prompt tokens prefilled per second");
  parser.AddNumber("decode-ms", opts.decode_ms,
                   "Milliseconds per token when idle");
  parser.AddInteger("slots", opts.slots, "Requests decoded concurrently");
  parser.AddInteger("max-waiting", opts.max_waiting,
                    "Queue length; further requests are refused");
  parser.AddInteger("cache-blocks", opts.cache_blocks,
                    "Capacity of the prefix cache in blocks of 64 tokens");
  parser.AddInteger("cache-keep-ms", opts.cache_keep_ms,
                    "Lifetime of an unused block in ms");
  parser.AddInteger("load-lag-ms", opts.load_lag_ms,
                    "Interval between load reports in ms");
  parser.AddFlag("checks-fencing", opts.checks_fencing,
                 "Refuse outdated fencing numbers");
  if (!parser.Parse(ArgumentsOf(argc, argv)).empty()) {
    throw usage_error("unexpected argument");
  }
  return RunStandIn(listen, [&](event_base* base) {
    return std::make_unique<engine_stand_in>(base, opts);
  });
}

}  // namespace
}  // namespace cuminswitch

int main(int argc, char** argv) {
  return cuminswitch::RunProgram("engine_stand_in", &cuminswitch::Main, argc,
                                 argv);
}
