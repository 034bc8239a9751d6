/// \file
/// Head record of the configuration. A configuration is accepted when a
/// compare-and-swap replaces this record.
#ifndef CUMINSWITCH_RECORDS_CONFIGURATION_HEAD_H_
#define CUMINSWITCH_RECORDS_CONFIGURATION_HEAD_H_

#include <string>
#include <string_view>
#include <vector>

#include "cuminswitch/Protocol/ids.h"

namespace cuminswitch {

/// Identifies the accepted configuration by the content hashes of its chunks.
struct configuration_head {
  generation_number generation = 0;
  /// Identifier chosen by the submitter, so that it can tell after a lost reply
  /// whether its own write took effect.
  std::string submission;
  /// In document order.
  std::vector<std::string> chunk_hashes;
};

/// Encodes \p head for the platform.
std::string EncodeConfigurationHead(const configuration_head& head);
/// Decodes a head; throws `record_error` when \p bytes are not one.
configuration_head DecodeConfigurationHead(std::string_view bytes);

/// The platform key of the head.
inline constexpr std::string_view kConfigurationHeadKey =
    "cuminswitch/configuration/head";
/// The platform key of the chunk with content hash \p hash.
std::string ConfigurationChunkKey(std::string_view hash);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_RECORDS_CONFIGURATION_HEAD_H_
