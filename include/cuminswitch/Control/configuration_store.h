/// \file
/// Reading and submitting the configuration, for operators' tools.
#ifndef CUMINSWITCH_CONTROL_CONFIGURATION_STORE_H_
#define CUMINSWITCH_CONTROL_CONFIGURATION_STORE_H_

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Config/document_diff.h"
#include "cuminswitch/Protocol/ids.h"
#include "cuminswitch/Records/configuration_head.h"

namespace cuminswitch {

class platform_store;

/// Thrown when the platform gives no usable reply.
class store_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// An accepted configuration.
struct stored_configuration {
  generation_number generation = 0;
  configuration config;
};

enum class submission_status : uint8_t {
  kAccepted,
  /// Another configuration was accepted after the base generation.
  kConflict,
  /// The platform did not reply, so it is unknown whether it was accepted.
  kUnknown,
};

struct submission_result {
  submission_status status = submission_status::kUnknown;
  /// The generation that was accepted, or that the submission conflicts with.
  generation_number generation = 0;
  /// Items that both operators changed: `before` is the other operator's text,
  /// `after` the submitted one. Empty when their changes do not overlap.
  std::vector<document_change> conflicts;
};

/// The configuration stored on the platform.
class configuration_store {
 public:
  explicit configuration_store(platform_store& platform)
      : platform_(platform) {}

  /// Returns the configuration in force; generation 0 when there is none.
  /// Throws `store_error`.
  stored_configuration Fetch();
  /// Returns an earlier configuration. Throws `store_error`.
  stored_configuration FetchGeneration(generation_number generation);

  /// Submits \p config, which was edited from generation \p base. \p submission
  /// is an identifier that the caller chooses and that is unique to this
  /// submission; retrying with the same identifier is idempotent. Throws
  /// `store_error` when nothing was accepted.
  submission_result Submit(const configuration& config,
                           generation_number base,
                           const std::string& submission);

 private:
  struct current_head {
    configuration_head head;
    revision_number revision = 0;
    std::string bytes;
  };

  current_head ReadHead();
  configuration ReadChunks(const configuration_head& head);
  void WriteOnce(const std::string& key, const std::string& value);
  submission_result MakeConflict(const configuration& config,
                                 generation_number base,
                                 const current_head& current);
  /// Returns the generation, from \p first to \p current, as which
  /// \p submission was accepted, if any.
  std::optional<generation_number> FindSubmission(
      const current_head& current,
      generation_number first,
      const std::string& submission);

  platform_store& platform_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_CONTROL_CONFIGURATION_STORE_H_
