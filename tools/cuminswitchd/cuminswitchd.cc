// The daemon of a host: reads its settings, runs, and stops gracefully on
// SIGTERM or SIGINT.
#include <glog/logging.h>
#include <signal.h>

#include <atomic>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

#include "cuminswitch/CommandLine/option_parser.h"
#include "cuminswitch/Daemon/router_daemon.h"
#include "cuminswitch/Settings/daemon_settings.h"
#include "cuminswitch/Support/findings_error.h"
#include "platform/platform_daemon.h"

namespace cuminswitch {
namespace {

enum exit_code : int {
  kSuccess = 0,
  kFailed = 1,
  kBadUsage = 2,
  kBadSettings = 3,
};

constexpr int kDefaultMetricsPort = 9100;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw usage_error(path + ": cannot be read");
  }
  return {std::istreambuf_iterator<char>(file), {}};
}

/// Waits for SIGTERM or SIGINT, or for SIGUSR1, which the daemon sends to this
/// thread when its graceful stop is complete.
class signal_waiter {
 public:
  signal_waiter() {
    sigemptyset(&signals_);
    sigaddset(&signals_, SIGTERM);
    sigaddset(&signals_, SIGINT);
    sigaddset(&signals_, SIGUSR1);
    // Blocked before any other thread starts, so that all threads inherit the
    // mask.
    pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
    signal(SIGPIPE, SIG_IGN);
  }

  int Wait() const {
    int number = 0;
    sigwait(&signals_, &number);
    return number;
  }

 private:
  sigset_t signals_{};
};

int Run(const daemon_settings& settings) {
  const signal_waiter signals;
  const pthread_t main_thread = pthread_self();
  router_daemon daemon(settings,
                       [main_thread] { pthread_kill(main_thread, SIGUSR1); });
  daemon.Start();
  LOG(INFO) << "event=started host=" << settings.host
            << " callers=" << settings.caller_address.ToString()
            << " peers=" << settings.peer_address.ToString();
  signals.Wait();
  LOG(INFO) << "event=stopping host=" << settings.host;
  daemon.BeginStop();
  // A second SIGTERM or SIGINT stops the daemon at once.
  const bool graceful = signals.Wait() == SIGUSR1;
  daemon.Stop();
  LOG(INFO) << "event=stopped host=" << settings.host
            << " graceful=" << (graceful ? "yes" : "no");
  return kSuccess;
}

/// Runs the daemon with the adapter for the users' platform, or checks its
/// settings. The path of the settings file defaults to that of the platform.
int RunOnPlatform(const std::vector<std::string>& rest,
                  bool check_only,
                  int metrics_port) {
  if (rest.size() > 1) {
    throw usage_error("at most one settings file is allowed");
  }
  const std::string path =
      rest.empty() ? platform::SettingsPath() : rest.front();
  if (check_only) {
    platform::CheckSettings(path);
    std::cout << path << ": no findings\n";
    return kSuccess;
  }
  platform::RunDaemon(path, static_cast<uint16_t>(metrics_port));
  return kSuccess;
}

int Main(int argc, char** argv) {
  bool check_only = false;
  bool on_platform = false;
  int metrics_port = kDefaultMetricsPort;
  option_parser parser("cuminswitchd", "[OPTION...] SETTINGS.toml");
  parser.AddFlag("check", check_only, "Check the settings and exit");
  parser.AddFlag("platform", on_platform,
                 "Run with the adapter for the users' platform");
  parser.AddInteger("metrics-port", metrics_port,
                    "Port of the metrics page; only with --platform");
  const std::vector<std::string> rest = parser.Parse(ArgumentsOf(argc, argv));
  if (on_platform) {
    return RunOnPlatform(rest, check_only, metrics_port);
  }
  if (rest.size() != 1) {
    throw usage_error("exactly one settings file is required");
  }
  const daemon_settings settings =
      ParseDaemonSettings(ReadFile(rest.front()), rest.front());
  if (check_only) {
    std::cout << rest.front() << ": no findings\n";
    return kSuccess;
  }
  return Run(settings);
}

}  // namespace
}  // namespace cuminswitch

int main(int argc, char** argv) {
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(argv[0]);
  try {
    return cuminswitch::Main(argc, argv);
  } catch (const cuminswitch::usage_error& error) {
    std::cerr << "cuminswitchd: " << error.what() << "\n";
    return cuminswitch::kBadUsage;
  } catch (const cuminswitch::findings_error& error) {
    std::cerr << error.what() << "\n";
    return cuminswitch::kBadSettings;
  } catch (const std::exception& error) {
    std::cerr << "cuminswitchd: " << error.what() << "\n";
    return cuminswitch::kFailed;
  }
}
