/// \file
/// Parses and writes the TOML document that holds the configuration.
#ifndef CUMINSWITCH_CONFIG_DOCUMENT_H_
#define CUMINSWITCH_CONFIG_DOCUMENT_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminswitch {

struct configuration;

/// Parses and checks a whole document. \p file names it in findings. Throws
/// `findings_error` with all findings if there are any.
configuration ParseDocument(std::string_view text, std::string_view file);

/// Parses one chunk of an accepted document. References to items in other
/// chunks are not checked. Throws `findings_error`.
configuration ParseFragment(std::string_view text, std::string_view file);

/// Joins the fragments of one document.
configuration MergeFragments(std::span<const configuration* const> fragments);

/// Writes the canonical document in chunks. The first chunk holds everything
/// but the workspaces. Workspaces are assigned to chunks by the hash of their
/// name, so that a change to one workspace changes one chunk. The concatenation
/// of the chunks is a document that `ParseDocument` accepts.
std::vector<std::string> WriteChunks(const configuration& config);

/// Writes the canonical document as one text.
std::string WriteDocument(const configuration& config);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_CONFIG_DOCUMENT_H_
