// Which requests are refused while capacity is scarce.
#include "cuminswitch/Admission/urgency_shedder.h"
#include "cuminswitch/Core/request_router.h"
#include "cuminswitch/Support/hash.h"

namespace cuminswitch {

double request_router::EstimateTurnSeconds(time_point now,
                                           const request& item,
                                           replica_index index) const {
  const double queue = replicas_.EstimateQueueSeconds(now, index);
  if (!options_.is_capacity_scarce || item.info.prompt_tokens == 0) {
    return queue;
  }
  // Engines run less urgent prompts later.
  return queue *
         pressure_.ShareAhead(now, Hash64(item.info.target), PriorityOf(item));
}

urgency_query request_router::DescribeUrgency(time_point now,
                                              const request& item,
                                              expected_wait& wait) {
  const uint64_t target = Hash64(item.info.target);
  const priority_class priority = PriorityOf(item);
  const duration queue = wait.Remaining() - wait.prefill;
  if (wait.target > duration(0)) {
    pressure_.OnArrival(now, target, priority,
                        ToSeconds(queue) / ToSeconds(wait.target));
  }
  const class_pressure::estimate more_urgent =
      pressure_.FindMoreUrgent(now, target, priority);
  wait.more_urgent_wait = more_urgent.wait_ratio;
  wait.pressure_age = more_urgent.peer_data_age;
  return {.waited = wait.waited,
          .queue = queue,
          .prefill = wait.prefill,
          .target = wait.target,
          .caller_idle_timeout = item.info.caller_idle_timeout,
          .more_urgent_wait = more_urgent.wait_ratio};
}

void request_router::AddWaitingWork(const request& item,
                                    const attempt& running,
                                    double sign) {
  if (options_.is_capacity_scarce && item.info.prompt_tokens > 0) {
    pressure_.AddWaiting(Hash64(item.info.target), PriorityOf(item),
                         sign * ToSeconds(running.expected_prefill));
  }
}

}  // namespace cuminswitch
