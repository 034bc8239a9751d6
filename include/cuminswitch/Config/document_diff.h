/// \file
/// The difference between two configurations, item by item.
#ifndef CUMINSWITCH_CONFIG_DOCUMENT_DIFF_H_
#define CUMINSWITCH_CONFIG_DOCUMENT_DIFF_H_

#include <string>
#include <vector>

namespace cuminswitch {

struct configuration;

/// One item that differs. An empty text means that the item is absent there.
struct document_change {
  /// The item's place, for example `workspace "tatry"`.
  std::string place;
  std::string before;
  std::string after;
};

/// Lists what changes from \p before to \p after, ordered by place.
std::vector<document_change> DiffConfigurations(const configuration& before,
                                                const configuration& after);

/// Lists the places that both \p mine and \p theirs change from \p base, and
/// that end differently: what an operator must settle by hand. In each,
/// `before` is their text and `after` is mine.
std::vector<document_change> FindConflicts(const configuration& base,
                                           const configuration& mine,
                                           const configuration& theirs);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_CONFIG_DOCUMENT_DIFF_H_
