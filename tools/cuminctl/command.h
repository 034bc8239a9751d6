// The commands of cuminctl and their exit codes.
#ifndef CUMINSWITCH_TOOLS_CUMINCTL_COMMAND_H_
#define CUMINSWITCH_TOOLS_CUMINCTL_COMMAND_H_

#include <stdexcept>
#include <string>
#include <vector>

namespace cuminswitch {

/// Exit codes, documented in docs/REFERENCE.md.
enum exit_code : int {
  kSuccess = 0,
  kFailed = 1,
  kBadUsage = 2,
  kFindings = 3,
  kDiffers = 4,
  kConflict = 5,
  kUnknownOutcome = 6,
};

using argument_list = std::vector<std::string>;

int RunCheck(const argument_list& arguments);
int RunDiff(const argument_list& arguments);
int RunSubmit(const argument_list& arguments);
int RunShow(const argument_list& arguments);
int RunStatus(const argument_list& arguments);
int RunAddresses(const argument_list& arguments);
int RunReport(const argument_list& arguments);
int RunExplain(const argument_list& arguments);
int RunHash(const argument_list& arguments);

/// Returns the contents of a file. Throws `usage_error` when it cannot be read.
std::string ReadFile(const std::string& path);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_TOOLS_CUMINCTL_COMMAND_H_
