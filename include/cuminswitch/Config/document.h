/// \file
/// Reading and writing the one document that states the configuration.
#ifndef CUMINSWITCH_CONFIG_DOCUMENT_H_
#define CUMINSWITCH_CONFIG_DOCUMENT_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cuminswitch {

struct configuration;

/// Reads a TOML document and checks it whole. \p file names it in findings.
/// Throws `findings_error` with every finding when there is one.
configuration ParseDocument(std::string_view text, std::string_view file);

/// Reads one chunk of an accepted document. References to items that other
/// chunks hold are not checked. Throws `findings_error`.
configuration ParseFragment(std::string_view text, std::string_view file);

/// Joins the fragments of one document.
configuration MergeFragments(std::span<const configuration* const> fragments);

/// Writes the canonical document in chunks, the first of which holds all but
/// the workspaces. Workspaces go to chunks by the hash of their name, so a
/// change to one workspace changes one chunk. The chunks' concatenation is a
/// document that `ParseDocument` reads.
std::vector<std::string> WriteChunks(const configuration& config);

/// Writes the canonical document as one text.
std::string WriteDocument(const configuration& config);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_CONFIG_DOCUMENT_H_
