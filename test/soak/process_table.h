/// \file
/// The processes that a soak has started.
#ifndef CUMINSWITCH_TEST_SOAK_PROCESS_TABLE_H_
#define CUMINSWITCH_TEST_SOAK_PROCESS_TABLE_H_

#include <sys/types.h>

#include <map>
#include <string>
#include <vector>

namespace cuminswitch::soak {

/// Starts programs and signals them by the process ids that it was given, so
/// that nothing else on the machine is ever ended.
class process_table {
 public:
  process_table() = default;
  process_table(const process_table&) = delete;
  process_table& operator=(const process_table&) = delete;
  ~process_table();

  /// Starts \p arguments as \p name; its output is appended to \p log.
  void Start(const std::string& name,
             const std::vector<std::string>& arguments,
             const std::string& log);
  void Signal(const std::string& name, int signal) const;
  /// Collects processes that have ended, and returns their names.
  std::vector<std::string> Reap();
  bool IsRunning(const std::string& name) const { return pids_.contains(name); }
  size_t size() const { return pids_.size(); }

 private:
  std::map<std::string, pid_t> pids_;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_PROCESS_TABLE_H_
