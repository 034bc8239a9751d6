#include "cuminswitch/Config/document_diff.h"

#include <map>
#include <string_view>

#include "cuminswitch/Config/configuration.h"
#include "cuminswitch/Config/document.h"

namespace cuminswitch {
namespace {

/// The canonical text of each item by its place: kind and name.
using item_map = std::map<std::string, std::string>;

std::string Quote(std::string_view kind, std::string_view name) {
  return std::string(kind) + " \"" + std::string(name) + "\"";
}

/// Adds to \p items the text of the only item of \p one, without the text that
/// an empty configuration has as well.
void AddItem(std::string place, const configuration& one, item_map& items) {
  static const std::string empty = WriteDocument(configuration());
  items[std::move(place)] = WriteDocument(one).substr(empty.size());
}

item_map ListItems(const configuration& config) {
  item_map items;
  items["platform"] = WriteDocument({.platform = config.platform});
  for (const model_spec& item : config.models) {
    AddItem(Quote("model", item.name), {.models = {item}}, items);
  }
  for (const service_spec& item : config.services) {
    AddItem(Quote("service", item.name), {.services = {item}}, items);
  }
  for (const upstream_spec& item : config.upstreams) {
    AddItem(Quote("upstream", item.name), {.upstreams = {item}}, items);
  }
  for (const workspace_spec& item : config.workspaces) {
    AddItem(Quote("workspace", item.name), {.workspaces = {item}}, items);
  }
  for (const placement_spec& item : config.placements) {
    AddItem(Quote("placement", item.workspace + "/" + item.target),
            {.placements = {item}}, items);
  }
  return items;
}

std::string TextAt(const item_map& items, const std::string& place) {
  const auto found = items.find(place);
  return found == items.end() ? std::string() : found->second;
}

}  // namespace

std::vector<document_change> DiffConfigurations(const configuration& before,
                                                const configuration& after) {
  const item_map old_items = ListItems(before);
  const item_map new_items = ListItems(after);
  item_map places = old_items;
  places.insert(new_items.begin(), new_items.end());
  std::vector<document_change> changes;
  for (const auto& [place, text] : places) {
    document_change change{.place = place,
                           .before = TextAt(old_items, place),
                           .after = TextAt(new_items, place)};
    if (change.before != change.after) {
      changes.push_back(std::move(change));
    }
  }
  return changes;
}

std::vector<document_change> FindConflicts(const configuration& base,
                                           const configuration& mine,
                                           const configuration& theirs) {
  item_map their_changes;
  for (const document_change& change : DiffConfigurations(base, theirs)) {
    their_changes[change.place] = change.after;
  }
  std::vector<document_change> conflicts;
  for (const document_change& change : DiffConfigurations(base, mine)) {
    const auto found = their_changes.find(change.place);
    if (found != their_changes.end() && found->second != change.after) {
      conflicts.push_back({.place = change.place,
                           .before = found->second,
                           .after = change.after});
    }
  }
  return conflicts;
}

}  // namespace cuminswitch
