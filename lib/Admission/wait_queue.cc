#include "cuminswitch/Admission/wait_queue.h"

#include <algorithm>

namespace cuminswitch {

/// How long a request of each class yields to interactive ones that arrive
/// later. Batch requests reach the front after half a minute, so they never
/// starve.
static constexpr duration kInteractiveDelay{0};
static constexpr duration kStandardDelay = std::chrono::seconds(1);
static constexpr duration kBatchDelay = std::chrono::seconds(30);
/// Additional delay per waiting request of the same workspace.
static constexpr duration kFairnessDelay = std::chrono::milliseconds(20);

static duration ClassDelay(priority_class priority) {
  switch (priority) {
    case priority_class::kInteractive:
      return kInteractiveDelay;
    case priority_class::kStandard:
      return kStandardDelay;
    case priority_class::kBatch:
      return kBatchDelay;
  }
  return kStandardDelay;
}

wait_queue::position wait_queue::MakePosition(
    const waiting_request& item) const {
  const auto waiting = waiting_by_workspace_.find(item.workspace_hash);
  const uint32_t count =
      waiting == waiting_by_workspace_.end() ? 0 : waiting->second;
  time_point virtual_arrival =
      item.arrived + ClassDelay(item.priority) + count * kFairnessDelay;
  // The number that waits rises and falls. Without this, a request that arrived
  // when many waited would be overtaken by all that arrive when fewer do.
  const auto queue = queues_.find(item.target);
  if (queue != queues_.end()) {
    for (auto it = queue->second.rbegin();
         it != queue->second.rend() &&
         it->first.virtual_arrival > virtual_arrival;
         ++it) {
      const waiting_request& other = it->second;
      if (other.workspace_hash == item.workspace_hash &&
          other.priority == item.priority && other.arrived <= item.arrived) {
        virtual_arrival = it->first.virtual_arrival;
      }
    }
  }
  return {.virtual_arrival = virtual_arrival, .request = item.request};
}

void wait_queue::Push(const waiting_request& item) {
  const position at = MakePosition(item);
  queues_[item.target].emplace(at, item);
  locations_[item.request] = {.target = item.target, .at = at};
  ++waiting_by_workspace_[item.workspace_hash];
}

void wait_queue::Remove(request_id request) {
  const auto found = locations_.find(request);
  if (found == locations_.end()) {
    return;
  }
  const auto queue = queues_.find(found->second.target);
  const auto item = queue->second.find(found->second.at);
  const uint64_t workspace = item->second.workspace_hash;
  queue->second.erase(item);
  if (queue->second.empty()) {
    queues_.erase(queue);
  }
  locations_.erase(found);
  if (--waiting_by_workspace_[workspace] == 0) {
    waiting_by_workspace_.erase(workspace);
  }
}

void wait_queue::Drain(
    const std::function<bool(const waiting_request&)>& try_place) {
  std::vector<request_id> placed;
  for (const auto& [target, items] : queues_) {
    size_t skipped = 0;
    for (const auto& [at, item] : items) {
      if (try_place(item)) {
        placed.push_back(item.request);
      } else if (++skipped == kLookahead) {
        break;
      }
    }
  }
  for (const request_id request : placed) {
    Remove(request);
  }
}

std::vector<waiting_request> wait_queue::TakeExpired(time_point now) {
  std::vector<waiting_request> expired;
  for (const auto& [target, items] : queues_) {
    for (const auto& [at, item] : items) {
      if (item.deadline <= now) {
        expired.push_back(item);
      }
    }
  }
  for (const waiting_request& item : expired) {
    Remove(item.request);
  }
  return expired;
}

std::vector<waiting_request> wait_queue::TakeAll() {
  return TakeExpired(time_point::max());
}

size_t wait_queue::CountAhead(const waiting_request& item) const {
  const auto found = queues_.find(item.target);
  if (found == queues_.end()) {
    return 0;
  }
  const auto end = found->second.lower_bound(MakePosition(item));
  return static_cast<size_t>(std::distance(found->second.begin(), end));
}

}  // namespace cuminswitch
