/// \file
/// The difference between two configurations, item by item.
#ifndef CUMINSWITCH_CONFIG_DOCUMENT_DIFF_H_
#define CUMINSWITCH_CONFIG_DOCUMENT_DIFF_H_

#include <string>
#include <vector>

namespace cuminswitch {

struct configuration;

/// One item that differs. The text of an item is empty on the side where the
/// item is absent.
struct document_change {
  /// The kind and name of the item, for example `workspace "tatry"`.
  std::string place;
  std::string before;
  std::string after;
};

/// Returns the items that differ between \p before and \p after, ordered by
/// place.
std::vector<document_change> DiffConfigurations(const configuration& before,
                                                const configuration& after);

/// Returns the items that \p mine and \p theirs both changed from \p base, with
/// different results: an operator must resolve these conflicts. In each change,
/// `before` is the text in \p theirs and `after` the text in \p mine.
std::vector<document_change> FindConflicts(const configuration& base,
                                           const configuration& mine,
                                           const configuration& theirs);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_CONFIG_DOCUMENT_DIFF_H_
