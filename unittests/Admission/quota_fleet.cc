#include "quota_fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

#include "cuminswitch/Admission/even_quota_policy.h"

namespace cuminswitch {

/// Time from the detection of a change by a daemon to the last query that was
/// made without it.
static constexpr double kConvergenceSlackSeconds = 0.5;
static constexpr double kTickSeconds = 0.05;
/// Longest time until the others see that a daemon shuts down; it reports that
/// by itself.
static constexpr double kMaxLeaveSeconds = 0.3;
/// Bounds of the delay of a message.
static constexpr double kMinDelaySeconds = 0.0008;
static constexpr double kMaxDelaySeconds = 0.003;
/// The daemons' clocks at the start of the simulation.
static constexpr double kStartSeconds = 1'000;
/// Time after which a caller gives up. A refused one returns if its Retry-After
/// is at most 1 / `kReturnDivisor` of the remaining time.
static constexpr double kCallerTimeoutSeconds = 5;
static constexpr double kReturnDivisor = 3;
/// Longest wait for a send slot.
static constexpr double kMaxSlotWaitSeconds = 10;
/// Most requests that wait at a daemon; more are refused.
static constexpr size_t kMaxWaiting = 20;

quota_fleet::quota_fleet(const options& opts)
    : options_(opts), random_(opts.seed), daemons_(opts.daemons) {
  for (size_t i = 0; i < daemons_.size(); ++i) {
    daemon& item = daemons_[i];
    item.address = {.address = "10." + std::to_string(i / 250) + ".0." +
                               std::to_string(i % 250),
                    .port = 7000};
    item.clock_rate = 1 + Uniform(-opts.clock_skew, opts.clock_skew);
    by_address_[item.address] = i;
  }
  for (size_t i = 0; i < daemons_.size(); ++i) {
    Start(i);
  }
}

double quota_fleet::Uniform(double low, double high) {
  return std::uniform_real_distribution<double>(low, high)(random_);
}

time_point quota_fleet::LocalTime(const daemon& item) const {
  return time_point(FromSeconds(kStartSeconds + now_ * item.clock_rate));
}

void quota_fleet::Start(size_t index) {
  daemon& item = daemons_[index];
  item.is_alive = true;
  item.is_leaving = false;
  // The daemons of the initial fleet have been up for a long time.
  item.started_at = now_ == 0 ? -kStartSeconds : now_;
  const uint64_t id = index + 1 + daemons_.size() * ++item.start_count;
  if (options_.mode == quota_mode::kEven) {
    item.policy =
        std::make_unique<even_quota_policy>(even_quota_policy::options{id});
  } else {
    item.policy =
        std::make_unique<owner_quota_policy>(owner_quota_policy::options{
            .self = item.address, .id = id, .fallback = options_.fallback});
  }
  if (now_ == 0) {
    UpdateFleetView(index);
    return;
  }
  // Until it receives heartbeats, it takes all listed daemons for alive.
  std::vector<endpoint> listed;
  for (const daemon& other : daemons_) {
    listed.push_back(other.address);
  }
  item.policy->SetFleet(LocalTime(item),
                        {.alive = listed,
                         .possibly_active = daemons_.size(),
                         .convergence_time = ConvergenceTime()});
  At(now_ + Uniform(0.2, 1.2), [this, index] { UpdateFleetView(index); });
}

duration quota_fleet::ConvergenceTime() const {
  return FromSeconds(options_.detection_seconds + kConvergenceSlackSeconds);
}

bool quota_fleet::Reaches(size_t from, size_t to) const {
  return daemons_[from].is_alive && daemons_[to].is_alive &&
         daemons_[from].side == daemons_[to].side;
}

void quota_fleet::UpdateFleetView(size_t index) {
  daemon& item = daemons_[index];
  if (!item.is_alive) {
    return;
  }
  std::vector<endpoint> alive;
  std::vector<endpoint> leaving;
  for (size_t i = 0; i < daemons_.size(); ++i) {
    if (i != index && Reaches(index, i)) {
      (daemons_[i].is_leaving ? leaving : alive).push_back(daemons_[i].address);
    }
  }
  item.policy->SetFleet(LocalTime(item), {.alive = alive,
                                          .leaving = leaving,
                                          .possibly_active = daemons_.size(),
                                          .convergence_time = ConvergenceTime(),
                                          .is_leaving = item.is_leaving});
}

void quota_fleet::ScheduleFleetViewUpdates() {
  for (size_t i = 0; i < daemons_.size(); ++i) {
    if (std::exchange(daemons_[i].has_update_scheduled, true)) {
      continue;
    }
    At(now_ +
           Uniform(options_.detection_seconds / 3, options_.detection_seconds),
       [this, i] {
         daemons_[i].has_update_scheduled = false;
         UpdateFleetView(i);
       });
  }
}

void quota_fleet::SetLimit(double rate, double burst, double spread) {
  const uint64_t version = daemons_.front().limit.version + 1;
  for (size_t i = 0; i < daemons_.size(); ++i) {
    const quota_limit limit{.rate = rate, .burst = burst, .version = version};
    At(now_ + Uniform(0, spread),
       [this, i, limit] { daemons_[i].limit = limit; });
  }
}

void quota_fleet::Partition(size_t count) {
  for (size_t i = 0; i < count; ++i) {
    daemons_[i].side = 1;
  }
  ScheduleFleetViewUpdates();
}

void quota_fleet::Heal() {
  for (daemon& item : daemons_) {
    item.side = 0;
  }
  ScheduleFleetViewUpdates();
}

void quota_fleet::Kill(std::span<const size_t> daemons, double down) {
  for (const size_t index : daemons) {
    daemons_[index].is_alive = false;
    At(now_ + down + Uniform(0, 0.3), [this, index] {
      Start(index);
      ScheduleFleetViewUpdates();
    });
  }
  ScheduleFleetViewUpdates();
}

void quota_fleet::Stop(size_t index, double grace) {
  daemons_[index].is_leaving = true;
  UpdateFleetView(index);
  for (size_t i = 0; i < daemons_.size(); ++i) {
    At(now_ + Uniform(kMinDelaySeconds, kMaxLeaveSeconds),
       [this, i] { UpdateFleetView(i); });
  }
  At(now_ + grace, [this, index] { Kill(std::vector<size_t>{index}, 1); });
}

void quota_fleet::At(double when, std::function<void()> action) {
  events_.emplace(when, std::move(action));
}

void quota_fleet::Submit(const sent_request& request) {
  daemon& item = daemons_[request.daemon];
  ++sent_;
  if (request.uses_send_slots && now_ < item.next_slot_at) {
    item.waiting += request.waits && item.waiting < kMaxWaiting ? 1 : 0;
    --sent_;
    return;
  }
  if (!item.is_alive || !item.limit.IsSet()) {
    --sent_;
    return;
  }
  const uint64_t ticket = ++next_ticket_;
  requests_[ticket] = request;
  item.policy->Admit(
      LocalTime(item),
      {.ticket = ticket,
       .subject = 77,
       .limit = item.limit,
       .weight = request.weight,
       .digest = request.digest,
       .max_wait = FromSeconds(std::max(0.0, request.deadline - now_) /
                               kReturnDivisor)});
  ProcessOutput(request.daemon);
}

void quota_fleet::ProcessOutput(size_t index) {
  quota_policy& policy = *daemons_[index].policy;
  for (const outgoing_quota_message& sent : policy.TakeMessages()) {
    ++messages_;
    Deliver(index, sent);
  }
  for (const quota_decision& decision : policy.TakeDecisions()) {
    OnDecision(decision);
  }
}

void quota_fleet::Deliver(size_t from, const outgoing_quota_message& sent) {
  const size_t to = by_address_.at(sent.to);
  if (Uniform(0, 1) < options_.loss) {
    return;
  }
  At(now_ + Uniform(kMinDelaySeconds, kMaxDelaySeconds),
     [this, from, to, sent] {
       if (!Reaches(from, to)) {
         return;
       }
       daemon& target = daemons_[to];
       const time_point now = LocalTime(target);
       if (const auto* query = std::get_if<quota_query>(&sent.message)) {
         target.policy->OnQuery(now, *query);
       } else {
         target.policy->OnReply(now, std::get<quota_reply>(sent.message));
       }
       ProcessOutput(to);
     });
}

void quota_fleet::WaitForSendSlot(const sent_request& request, double wait) {
  daemon& item = daemons_[request.daemon];
  item.next_slot_at = now_ + wait;
  item.waiting += request.waits ? 1 : 0;
  if (item.waiting == 0) {
    return;
  }
  At(item.next_slot_at, [this, request] {
    daemon& waiting = daemons_[request.daemon];
    if (waiting.waiting > 0 && now_ >= waiting.next_slot_at) {
      --waiting.waiting;
      Submit(request);
    }
  });
}

void quota_fleet::OnDecision(const quota_decision& decision) {
  const auto found = requests_.find(decision.ticket);
  const sent_request request = found->second;
  requests_.erase(found);
  if (decision.is_admitted) {
    daemon& item = daemons_[request.daemon];
    admissions_.push_back({.at = now_,
                           .weight = request.weight,
                           .uptime = now_ - item.started_at});
    if (item.waiting > 0) {
      --item.waiting;
      Submit(request);
    }
    return;
  }
  const double wait = ToSeconds(decision.retry_after);
  if (request.uses_send_slots) {
    WaitForSendSlot(request, wait);
    return;
  }
  if (request.is_repeat || wait > (request.deadline - now_) / kReturnDivisor) {
    refused_again_ += request.is_repeat ? 1 : 0;
    ++refused_;
    return;
  }
  ++came_back_;
  --sent_;
  sent_request again = request;
  again.is_repeat = true;
  again.daemon =
      std::uniform_int_distribution<size_t>(0, daemons_.size() - 1)(random_);
  At(now_ + wait + 0.006, [this, again] { Submit(again); });
}

void quota_fleet::ScheduleArrivals(const load& callers, double until) {
  const double rate = std::max(1.0, callers.rate(now_));
  if (callers.uses_send_slots && callers.rate(now_) == 0) {
    At(now_ + kTickSeconds,
       [this, callers, until] { ScheduleArrivals(callers, until); });
    return;
  }
  const double gap = std::exponential_distribution<double>(
      callers.uses_send_slots ? callers.rate(now_)
                              : rate / callers.mean_weight)(random_);
  if (now_ + gap > until) {
    return;
  }
  At(now_ + gap, [this, callers, until] {
    const size_t daemon = callers.choose(now_, random_);
    if (callers.uses_send_slots) {
      Submit({.daemon = daemon,
              .weight = 1,
              .digest = daemon + 1,
              .deadline =
                  now_ +
                  (callers.waits ? kReturnDivisor * kMaxSlotWaitSeconds : 0),
              .uses_send_slots = true,
              .waits = callers.waits});
      ScheduleArrivals(callers, until);
      return;
    }
    // Distributed like prompts: most are near the mean, a few up to five times
    // as long.
    std::lognormal_distribution<double> weights(-0.32, 0.8);
    const double weight = std::min(callers.mean_weight * 5,
                                   callers.mean_weight * weights(random_));
    Submit({.daemon = daemon,
            .weight = weight,
            .digest = random_() | 1,
            .deadline = now_ + kCallerTimeoutSeconds});
    ScheduleArrivals(callers, until);
  });
}

void quota_fleet::Run(double seconds, const load& callers) {
  const double end = now_ + seconds;
  ScheduleArrivals(callers, end);
  for (double at = now_; at < end; at += kTickSeconds) {
    At(at, [this] {
      for (size_t i = 0; i < daemons_.size(); ++i) {
        if (daemons_[i].is_alive) {
          daemons_[i].policy->OnTick(LocalTime(daemons_[i]));
          ProcessOutput(i);
        }
      }
    });
  }
  while (!events_.empty() && events_.begin()->first <= end) {
    const auto next = events_.begin();
    now_ = std::max(now_, next->first);
    const std::function<void()> action = std::move(next->second);
    events_.erase(next);
    action();
  }
  now_ = end;
}

double quota_fleet::MostWithin(double window, double least_up) const {
  double largest = 0;
  double sum = 0;
  size_t first = 0;
  const auto counted = [&](const admission& item) {
    return item.uptime >= least_up ? item.weight : 0;
  };
  for (const admission& item : admissions_) {
    sum += counted(item);
    while (admissions_[first].at <= item.at - window) {
      sum -= counted(admissions_[first++]);
    }
    largest = std::max(largest, sum);
  }
  return largest;
}

double quota_fleet::admitted() const {
  double sum = 0;
  for (const admission& item : admissions_) {
    sum += item.weight;
  }
  return sum;
}

double quota_fleet::RefusedShare() const {
  return sent_ == 0
             ? 0
             : static_cast<double>(refused_) / static_cast<double>(sent_);
}

}  // namespace cuminswitch
