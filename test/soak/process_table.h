/// \file
/// The processes started by a soak run.
#ifndef CUMINSWITCH_TEST_SOAK_PROCESS_TABLE_H_
#define CUMINSWITCH_TEST_SOAK_PROCESS_TABLE_H_

#include <sys/types.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cuminswitch::soak {

/// Starts programs and signals them by the process ids of these starts only, so
/// that no other process on the machine is affected. Kills those still running
/// when it is destroyed.
class process_table {
 public:
  process_table() = default;
  process_table(const process_table&) = delete;
  process_table& operator=(const process_table&) = delete;
  ~process_table();

  /// Starts \p arguments under the name \p name and appends its output to the
  /// file \p log. Throws `std::runtime_error` if the program cannot be started.
  void Start(const std::string& name,
             const std::vector<std::string>& arguments,
             const std::string& log);
  /// Does nothing if no process has the name.
  void Signal(const std::string& name, int signal) const;
  /// Reaps processes that have exited and returns their names.
  std::vector<std::string> Reap();
  bool IsRunning(const std::string& name) const { return pids_.contains(name); }
  /// Returns the name of the process whose TCP socket connects the port
  /// \p local to the port \p remote; empty if none of these processes has one.
  std::string OwnerOf(uint16_t local, uint16_t remote) const;
  size_t size() const { return pids_.size(); }

 private:
  std::map<std::string, pid_t> pids_;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_PROCESS_TABLE_H_
