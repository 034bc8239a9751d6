// A randomized soak: the real programs as processes on loopback, harmed from
// outside, and held against the promises by what callers and upstreams see.
// Exits with 1 and prints the findings and the seed when a promise is broken.
#include <event2/event.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <memory>
#include <vector>

#include "cuminswitch/CommandLine/option_parser.h"
#include "cuminswitch/Net/loop_timer.h"
#include "soak/deployment.h"
#include "soak/fault_schedule.h"
#include "soak/soak_caller.h"

namespace cuminswitch::soak {
namespace {

struct soak_options {
  int seed = 1;
  int seconds = 10;
  int daemons = 4;
  int engines = 3;
  int services = 2;
  int callers = 12;
  bool limits = false;
  bool crashes = false;
  bool notices = false;
  bool departures = false;
  std::string build_folder = "build";
  std::string work_folder = "soak-work";
};

constexpr std::chrono::milliseconds kTick{100};
/// All daemons and upstreams are up and know each other by then.
constexpr std::chrono::seconds kWarmUp{2};
/// After the last fault everything must be served again within this.
constexpr std::chrono::seconds kRecovery{12};
/// Of the requests in the time after that, so many of a hundred must succeed;
/// one in eight is sent to fail.
constexpr size_t kLeastServedPercent = 60;
constexpr std::chrono::seconds kProof{2};
/// Answers that are on their way come in this time.
constexpr std::chrono::seconds kEnd{5};

soak_subject SubjectOf(const soak_options& opts) {
  if (opts.limits) {
    return soak_subject::kLimits;
  }
  if (opts.notices) {
    return soak_subject::kNotices;
  }
  if (opts.departures) {
    return soak_subject::kDepartures;
  }
  return opts.crashes ? soak_subject::kCrashes : soak_subject::kAll;
}

class soak_run {
 public:
  explicit soak_run(const soak_options& opts)
      : options_(opts),
        base_(event_base_new()),
        deployment_(base_,
                    {.build_folder = opts.build_folder,
                     .work_folder = opts.work_folder,
                     .daemons = opts.daemons,
                     .engines = opts.engines,
                     .services = opts.services},
                    ledger_),
        schedule_(base_,
                  static_cast<uint64_t>(opts.seed),
                  SubjectOf(opts),
                  deployment_),
        tick_(base_, [this] {
          tick_.Start(kTick);
          deployment_.Tick();
        }) {}
  ~soak_run() = default;

  /// Returns the findings.
  const std::vector<std::string>& Run() {
    tick_.Start(kTick);
    Pass(kWarmUp);
    for (int i = 0; i < options_.callers; ++i) {
      callers_.push_back(MakeCaller(i));
    }
    Pass(std::chrono::seconds(1));
    schedule_.Start();
    Pass(std::chrono::seconds(options_.seconds));
    schedule_.Stop();
    Pass(kRecovery);
    const size_t sent = ledger_.sent();
    const size_t served = ledger_.served();
    Pass(kProof);
    CheckRecovery(ledger_.sent() - sent, ledger_.served() - served);
    for (const auto& caller : callers_) {
      caller->Stop();
    }
    Pass(kEnd);
    ledger_.Close();
    std::cout << "seed " << options_.seed << ": " << ledger_.sent()
              << " requests, " << ledger_.served() << " served, "
              << deployment_.processes.size() << " processes, "
              << ledger_.limited() << " of them held to limits, "
              << ledger_.noticed() << " to notices, " << ledger_.crashes()
              << " crashes, " << ledger_.departures() << " departures, "
              << ledger_.late_at_departed() << " late, "
              << ledger_.findings().size() << " findings\n";
    return ledger_.findings();
  }

 private:
  void Pass(std::chrono::milliseconds time) {
    const timeval span{.tv_sec = time.count() / 1000,
                       .tv_usec = time.count() % 1000 * 1000};
    event_base_loopexit(base_, &span);
    event_base_dispatch(base_);
  }

  std::unique_ptr<soak_caller> MakeCaller(int number) {
    const auto seed = static_cast<uint64_t>(options_.seed) * 1'000 +
                      static_cast<uint64_t>(number);
    return std::make_unique<soak_caller>(
        base_,
        soak_caller::options{
            .name = "c" + std::to_string(number),
            .seed = seed,
            .choose_daemon =
                [this, next = seed]() mutable {
                  return deployment_
                      .daemons[next++ % deployment_.daemons.size()]
                      .front;
                },
            .is_sound =
                [this](const endpoint& front, wall_time since) {
                  return deployment_.IsSound(front, since);
                },
            .choose_workspace =
                [this](std::mt19937_64& random) {
                  const bool may_use_third = schedule_.MayUseSecondCredential();
                  switch (random() % 3) {
                    case 0:
                      return std::pair<std::string, std::string>("key1", "w1");
                    case 1:
                      return std::pair<std::string, std::string>("key2", "w2");
                    default:
                      return std::pair<std::string, std::string>(
                          may_use_third ? "key3" : "key2", "w2");
                  }
                },
            .sends_crashing = options_.crashes},
        ledger_);
  }

  void CheckRecovery(size_t sent, size_t served) {
    if (sent == 0 || served * 100 < sent * kLeastServedPercent) {
      ledger_.Find("recover", "of " + std::to_string(sent) +
                                  " requests after the faults " +
                                  std::to_string(served) + " were served");
    }
    for (const upstream_state& item : deployment_.upstreams) {
      if (item.is_engine && item.version != deployment_.weights()) {
        ledger_.Find("version", item.id + " has weights " +
                                    std::to_string(item.version) + " of " +
                                    std::to_string(deployment_.weights()));
      }
    }
  }

  soak_options options_;
  event_base* base_;
  promise_ledger ledger_;
  deployment deployment_;
  fault_schedule schedule_;
  loop_timer tick_;
  std::vector<std::unique_ptr<soak_caller>> callers_;
};

int Main(int argc, char** argv) {
  soak_options options;
  option_parser parser("soak", "[OPTION...]");
  parser.AddInteger("seed", options.seed, "Decides what is done, and when");
  parser.AddInteger("seconds", options.seconds, "How long faults are made");
  parser.AddInteger("daemons", options.daemons, "Daemons to start");
  parser.AddInteger("engines", options.engines, "Engines to start");
  parser.AddInteger("services", options.services, "Plain services to start");
  parser.AddInteger("callers", options.callers, "Callers at a time");
  parser.AddFlag("limits", options.limits,
                 "Upstreams name limits, and are left alone otherwise");
  parser.AddFlag("crashes", options.crashes,
                 "Some requests crash the upstreams that run them");
  parser.AddFlag("notices", options.notices,
                 "Upstreams ask for rest, and say that they leave");
  parser.AddFlag("departures", options.departures,
                 "Upstreams depart while daemons lose the store");
  parser.AddString("build", options.build_folder, "The build folder", "FOLDER");
  parser.AddString("work", options.work_folder,
                   "Where logs go; kept when a promise is broken", "FOLDER");
  parser.Parse(ArgumentsOf(argc, argv));
  std::signal(SIGPIPE, SIG_IGN);
  if (std::filesystem::exists(options.work_folder)) {
    throw usage_error(options.work_folder + " exists; its logs would be mixed");
  }
  std::filesystem::create_directories(options.work_folder);
  soak_run run(options);
  const std::vector<std::string>& findings = run.Run();
  for (const std::string& finding : findings) {
    std::cout << "seed " << options.seed << " broke " << finding << "\n";
  }
  if (findings.empty()) {
    std::filesystem::remove_all(options.work_folder);
  }
  return findings.empty() ? 0 : 1;
}

}  // namespace
}  // namespace cuminswitch::soak

int main(int argc, char** argv) {
  try {
    return cuminswitch::soak::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "soak: " << error.what() << "\n";
    return 2;
  }
}
