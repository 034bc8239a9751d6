/// \file
/// Checks that streams stay at one software version and go on when resumed.
#ifndef CUMINSWITCH_TEST_SOAK_VERSION_CHECK_H_
#define CUMINSWITCH_TEST_SOAK_VERSION_CHECK_H_

#include <cstddef>
#include <optional>
#include <string>

namespace cuminswitch::soak {

/// Returns \p body without the versions that its events name.
std::string WithoutVersions(std::string body);

/// Checks streams by the versions that their events name. Compares how often
/// resumed streams go on with how often new ones are complete.
class version_check {
 public:
  /// One attempt at a stream, as its caller observed it.
  struct attempt {
    std::string id;
    /// All events of the stream, those of earlier attempts included.
    std::string body;
    bool is_resumption = false;
    bool is_whole = false;
    /// Its daemon was undisturbed, so that it counts for the comparison.
    bool is_counted = false;
  };

  /// Returns a description of the violation if the stream holds events of
  /// several versions.
  std::optional<std::string> OnStream(const attempt& item);
  /// Returns a description of the violation if resumed streams went on less
  /// than half as often as new ones were complete.
  std::optional<std::string> OnEnd() const;

  /// Resumed streams at undisturbed daemons, and those of them that went on.
  size_t resumed() const { return resumed_; }
  size_t continued() const { return continued_; }

 private:
  size_t resumed_ = 0;
  size_t continued_ = 0;
  size_t begun_ = 0;
  size_t completed_ = 0;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_VERSION_CHECK_H_
