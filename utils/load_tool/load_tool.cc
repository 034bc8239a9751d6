// Sends the traffic of one deployment to running daemons, injects faults into
// the upstream stand-ins on a schedule, and reports the callers' results.
#include <event2/event.h>

#include <unistd.h>
#include <algorithm>
#include <chrono>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>

#include "cuminswitch/CommandLine/option_parser.h"
#include "cuminswitch/CommandLine/program.h"
#include "cuminswitch/Net/blocking_http.h"
#include "cuminswitch/Net/loop_timer.h"
#include "load_tool/caller.h"
#include "load_tool/oracle.h"
#include "load_tool/workload.h"

namespace cuminswitch {
namespace {

using clock = std::chrono::steady_clock;

/// How long to wait after the run for responses that are still outstanding.
constexpr std::chrono::milliseconds kDrainTimeout{60'000};

struct load_options {
  workload_options workload;
  std::string daemons;
  std::string upstreams;
  std::string pids;
  std::string label = "run";
  std::string json;
  /// `SECOND:UPSTREAM:CONTROL,...`, for example `5:0:crash=1`.
  std::string faults;
  int engines = 12;
  int cache_blocks = 4096;
  int cache_keep_ms = 10'000;
  /// Seconds at the start of the run whose requests are not counted, because
  /// caches are cold.
  double warmup = 0;
};

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, separator);) {
    if (!part.empty()) {
      parts.push_back(part);
    }
  }
  return parts;
}

std::vector<endpoint> ParseEndpoints(const std::string& text) {
  std::vector<endpoint> result;
  for (const std::string& part : Split(text, ',')) {
    const std::optional<endpoint> parsed = ParseEndpoint(part);
    if (!parsed) {
      throw usage_error(part + ": not a numeric address:port");
    }
    result.push_back(*parsed);
  }
  return result;
}

/// Returns the processor seconds that a process has used.
double CpuSeconds(const std::string& pid) {
  std::ifstream file("/proc/" + pid + "/stat");
  std::string word;
  double ticks = 0;
  for (int field = 1; file >> word; ++field) {
    if (field == 14 || field == 15) {
      ticks += std::stod(word);
    }
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// A fault to inject: at second `at`, the stand-in `upstream` gets the query
/// `control`.
struct scheduled_fault {
  double at = 0;
  size_t upstream = 0;
  std::string control;
};

std::vector<scheduled_fault> ParseFaults(const std::string& text) {
  std::vector<scheduled_fault> faults;
  for (const std::string& part : Split(text, ',')) {
    const std::vector<std::string> fields = Split(part, ':');
    if (fields.size() != 3) {
      throw usage_error("--faults must be SECOND:UPSTREAM:CONTROL,...");
    }
    faults.push_back({.at = std::stod(fields[0]),
                      .upstream = std::stoul(fields[1]),
                      .control = fields[2]});
  }
  return faults;
}

double Quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto index =
      static_cast<size_t>(share * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

class load_run {
 public:
  explicit load_run(const load_options& opts)
      : options_(opts),
        daemons_(ParseEndpoints(opts.daemons)),
        upstreams_(ParseEndpoints(opts.upstreams)),
        faults_(ParseFaults(opts.faults)),
        names_(NamesOf(opts.workload.name)),
        trace_(MakeTrace(opts.workload)),
        base_(event_base_new()),
        client_(std::make_unique<http_client>(base_)),
        timer_(base_, [this] { OnTick(); }) {
    if (daemons_.empty()) {
      throw usage_error("--daemons is required");
    }
  }
  load_run(const load_run&) = delete;
  load_run& operator=(const load_run&) = delete;
  ~load_run() {
    client_.reset();
    event_base_loop(base_, EVLOOP_NONBLOCK);
    event_base_free(base_);
  }

  void Run() {
    FetchAddresses();
    const std::map<std::string, double> cpu_before = ReadCpu();
    start_ = clock::now();
    timer_.Start(std::chrono::milliseconds(0));
    event_base_dispatch(base_);
    seconds_ = std::chrono::duration<double>(clock::now() - start_).count();
    for (const auto& [pid, before] : cpu_before) {
      cpu_seconds_ += CpuSeconds(pid) - before;
    }
  }

  nlohmann::json Report() const;

 private:
  std::map<std::string, double> ReadCpu() const {
    std::map<std::string, double> result;
    for (const std::string& pid : Split(options_.pids, ',')) {
      result[pid] = CpuSeconds(pid);
    }
    return result;
  }

  /// Fetches the host addresses of each workspace. Callers may cache them for
  /// their time to live; the load tool uses them for the whole run.
  void FetchAddresses() {
    std::set<std::string> workspaces;
    for (const trace_request& request : trace_) {
      workspaces.insert(request.workspace);
    }
    for (const std::string& workspace : workspaces) {
      const blocking_response response = FetchBlocking(
          {.to = daemons_.front(),
           .path = "/v1/addresses",
           .headers = {{.name = "Authorization",
                        .value = "Bearer example-" + workspace}}});
      const auto json = nlohmann::json::parse(response.body);
      for (const auto& item : json.at("addresses")) {
        addresses_[workspace].push_back(
            ParseEndpoint(item.at("address").get<std::string>()).value());
      }
    }
  }

  double Elapsed() const {
    return std::chrono::duration<double>(clock::now() - start_).count();
  }

  void OnTick() {
    const double now = Elapsed();
    while (next_ < trace_.size() && trace_[next_].at <= now) {
      Send(trace_[next_++]);
    }
    while (next_fault_ < faults_.size() && faults_[next_fault_].at <= now) {
      const scheduled_fault& fault = faults_[next_fault_++];
      FetchBlocking({.to = upstreams_.at(fault.upstream),
                     .method = http_method::kPost,
                     .path = "/control?" + fault.control});
    }
    const bool sent_all = next_ == trace_.size();
    const bool has_timed_out =
        now > options_.workload.seconds + ToSeconds(kDrainTimeout);
    if ((sent_all && callers_.empty()) || has_timed_out) {
      event_base_loopbreak(base_);
      return;
    }
    timer_.Start(std::chrono::milliseconds(1));
  }

  static double ToSeconds(std::chrono::milliseconds value) {
    return std::chrono::duration<double>(value).count();
  }

  void Send(const trace_request& request) {
    const std::vector<endpoint>& addresses = addresses_.at(request.workspace);
    const endpoint& first = addresses[request.order % addresses.size()];
    const std::string key =
        std::to_string(std::chrono::duration_cast<std::chrono::seconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count()) +
        "-" + std::to_string(request.order);
    Start(request, first, key);
    // One at-most-once order in three is sent again immediately, through any
    // daemon.
    if (request.once && request.order % 3 == 0) {
      Start(request, daemons_[request.order % daemons_.size()], key);
    }
  }

  void Start(const trace_request& request,
             const endpoint& address,
             const std::string& key) {
    auto item = std::make_unique<caller>(
        caller::options{.request = &request,
                        .address = address,
                        .model = names_.model,
                        .service = names_.service,
                        .key = key},
        *client_, [this](caller& done, const call_result& result) {
          results_.push_back(result);
          ended_at_.push_back(Elapsed());
          callers_.erase(&done);
        });
    caller* raw = item.get();
    callers_[raw] = std::move(item);
  }

  load_options options_;
  std::vector<endpoint> daemons_;
  std::vector<endpoint> upstreams_;
  std::vector<scheduled_fault> faults_;
  workload_names names_;
  std::vector<trace_request> trace_;
  event_base* base_;
  std::unique_ptr<http_client> client_;
  loop_timer timer_;
  std::map<std::string, std::vector<endpoint>> addresses_;
  std::map<caller*, std::unique_ptr<caller>> callers_;
  std::vector<call_result> results_;
  std::vector<double> ended_at_;
  clock::time_point start_;
  size_t next_ = 0;
  size_t next_fault_ = 0;
  double seconds_ = 0;
  double cpu_seconds_ = 0;
};

/// Totals over all counted results.
struct totals {
  uint64_t sent = 0;
  uint64_t answered = 0;
  uint64_t not_run = 0;
  uint64_t unknown = 0;
  uint64_t truncated = 0;
  uint64_t crossed = 0;
  uint64_t refused_without_retry_after = 0;
  double prompt_tokens = 0;
  double cached_tokens = 0;
  /// Tokens of shared prefixes that were computed again although a replica had
  /// them cached.
  double wasted_tokens = 0;
  double goodput = 0;
  std::vector<double> first_token;
  std::map<std::string, std::pair<uint64_t, uint64_t>> by_workspace;
  std::map<int, std::vector<double>> first_token_by_second;
};

totals Aggregate(const std::vector<call_result>& results,
                 double keep_seconds,
                 double warmup) {
  totals sum;
  std::vector<const call_result*> ordered;
  ordered.reserve(results.size());
  for (const call_result& result : results) {
    ordered.push_back(&result);
  }
  std::sort(ordered.begin(), ordered.end(), [](const auto* a, const auto* b) {
    return a->request->at < b->request->at;
  });
  std::map<std::pair<std::string, uint32_t>, double> last_use;
  for (const call_result* result : ordered) {
    const trace_request& request = *result->request;
    const std::pair<std::string, uint32_t> prefix(request.workspace,
                                                  request.contract);
    if (request.at < warmup) {
      last_use[prefix] = request.at;
      continue;
    }
    ++sum.sent;
    const bool answered = result->outcome == "answered";
    sum.answered += answered ? 1 : 0;
    sum.not_run += result->outcome == "not_run" ? 1 : 0;
    sum.unknown += result->outcome == "unknown" ? 1 : 0;
    sum.truncated += result->truncated ? 1 : 0;
    sum.crossed += result->crossed ? 1 : 0;
    sum.refused_without_retry_after +=
        result->outcome == "not_run" && !result->retry_after ? 1 : 0;
    auto& [sent, served] = sum.by_workspace[request.workspace];
    ++sent;
    served += answered ? 1 : 0;
    if (request.once || !answered) {
      continue;
    }
    sum.goodput += 1;
    sum.prompt_tokens += result->usage.prompt_tokens;
    sum.cached_tokens += result->usage.cached_tokens;
    if (!request.batch) {
      sum.first_token.push_back(result->first_token);
      sum.first_token_by_second[static_cast<int>(request.at)].push_back(
          result->first_token);
    }
    const auto last = last_use.find(prefix);
    if (last != last_use.end() && request.at - last->second < keep_seconds) {
      sum.wasted_tokens += std::max(
          0.0, static_cast<double>(request.shared_tokens) -
                   prefix_cache::kTokensPerBlock - result->usage.cached_tokens);
    }
    last_use[prefix] = request.at;
  }
  return sum;
}

/// Returns Jain's fairness index over the share of each workspace's requests
/// that was answered.
double Fairness(const totals& sum) {
  double total = 0;
  double squares = 0;
  for (const auto& [name, counts] : sum.by_workspace) {
    const double share =
        static_cast<double>(counts.second) / static_cast<double>(counts.first);
    total += share;
    squares += share * share;
  }
  const auto count = static_cast<double>(sum.by_workspace.size());
  return squares == 0 ? 0 : total * total / (count * squares);
}

/// Returns the number of idempotency keys that a service executed more than
/// once.
uint64_t CountDuplicateRuns(const std::vector<endpoint>& upstreams) {
  uint64_t doubled = 0;
  for (const endpoint& upstream : upstreams) {
    const blocking_response response =
        FetchBlocking({.to = upstream, .path = "/control/runs"});
    const auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (json.is_object() && json.contains("doubled")) {
      doubled += json["doubled"].get<uint64_t>();
    }
  }
  return doubled;
}

nlohmann::json load_run::Report() const {
  const prefix_cache::options cache{
      .capacity_blocks = static_cast<size_t>(options_.cache_blocks),
      .keep = std::chrono::milliseconds(options_.cache_keep_ms)};
  const totals sum =
      Aggregate(results_, options_.cache_keep_ms / 1000.0, options_.warmup);
  nlohmann::json json = {
      {"label", options_.label},
      {"workload", options_.workload.name},
      {"seed", options_.workload.seed},
      {"rate", options_.workload.rate},
      {"seconds", options_.workload.seconds},
      {"sent", sum.sent},
      {"unanswered", callers_.size()},
      {"answered", sum.answered},
      {"not_run", sum.not_run},
      {"unknown", sum.unknown},
      {"truncated", sum.truncated},
      {"crossed", sum.crossed},
      {"refused_without_retry_after", sum.refused_without_retry_after},
      {"doubled_runs", CountDuplicateRuns(upstreams_)},
      {"hit_rate",
       sum.prompt_tokens == 0 ? 0 : sum.cached_tokens / sum.prompt_tokens},
      {"oracle_hit_rate",
       ReplayOracle(trace_, static_cast<size_t>(options_.engines), cache,
                    options_.warmup)},
      {"wasted_tokens", sum.wasted_tokens},
      {"first_token_p50", Quantile(sum.first_token, 0.50)},
      {"first_token_p95", Quantile(sum.first_token, 0.95)},
      {"first_token_p99", Quantile(sum.first_token, 0.99)},
      {"goodput", sum.goodput / (options_.workload.seconds - options_.warmup)},
      {"fairness", Fairness(sum)},
      {"daemon_cpu_share", seconds_ == 0 ? 0 : cpu_seconds_ / seconds_}};
  for (const auto& [second, values] : sum.first_token_by_second) {
    json["timeline"].push_back({{"second", second},
                                {"count", values.size()},
                                {"p50", Quantile(values, 0.5)},
                                {"p99", Quantile(values, 0.99)}});
  }
  return json;
}

int Main(int argc, char** argv) {
  load_options opts;
  int seed = 1;
  option_parser parser("load_tool", "[OPTION...]");
  parser.AddString("workload", opts.workload.name, "slovak or sneachta");
  parser.AddNumber("rate", opts.workload.rate, "Requests per second");
  parser.AddNumber("seconds", opts.workload.seconds, "Length of the run");
  parser.AddInteger("seed", seed, "Seed of the trace");
  parser.AddNumber("move-hot-at", opts.workload.move_hot_at,
                   "Second at which other contracts become popular");
  parser.AddNumber("once-share", opts.workload.once_share,
                   "Share of at-most-once orders");
  parser.AddString("daemons", opts.daemons, "Daemons, separated by commas",
                   "ADDRESSES");
  parser.AddString("upstreams", opts.upstreams,
                   "Upstream stand-ins, separated by commas", "ADDRESSES");
  parser.AddString("faults", opts.faults,
                   "SECOND:UPSTREAM:CONTROL,... such as 5:0:crash=1");
  parser.AddString("pids", opts.pids,
                   "Daemons' process ids, to measure their processor time");
  parser.AddString("label", opts.label, "Name of this run in the report");
  parser.AddNumber("warmup", opts.warmup,
                   "Seconds at the start that are not counted");
  parser.AddString("json", opts.json, "Append the report to this file", "FILE");
  parser.AddInteger("engines", opts.engines,
                    "Number of engines, for the oracle");
  parser.AddInteger("cache-blocks", opts.cache_blocks,
                    "Blocks per engine, for the oracle");
  parser.AddInteger("cache-keep-ms", opts.cache_keep_ms,
                    "Lifetime of an unused block in ms, for the oracle");
  if (!parser.Parse(ArgumentsOf(argc, argv)).empty()) {
    throw usage_error("unexpected argument");
  }
  opts.workload.seed = static_cast<uint64_t>(seed);
  load_run run(opts);
  run.Run();
  const nlohmann::json report = run.Report();
  nlohmann::json shown = report;
  shown.erase("timeline");
  std::cout << shown.dump(2) << "\n";
  if (!opts.json.empty()) {
    std::ofstream(opts.json, std::ios::app) << report.dump() << "\n";
  }
  return 0;
}

}  // namespace
}  // namespace cuminswitch

int main(int argc, char** argv) {
  return cuminswitch::RunProgram("load_tool", &cuminswitch::Main, argc, argv);
}
