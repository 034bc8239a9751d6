#include "quota_fleet.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

#include "cuminswitch/Admission/even_quota_policy.h"

namespace cuminswitch {

/// Between a change's being noticed by one daemon and the last question that
/// was asked without it.
static constexpr double kNoticeSlack = 0.5;
static constexpr double kTickSeconds = 0.05;
/// A daemon that stops tells the others at once.
static constexpr double kLeaveSeconds = 0.3;
static constexpr double kLeastDelay = 0.0008;
static constexpr double kMostDelay = 0.003;
static constexpr double kFirstTime = 1'000;
/// A caller that was refused waits for a third of its time at most.
static constexpr double kCallerSeconds = 5;
static constexpr double kReturnPart = 3;
/// A daemon that asks by turns comes for a turn within this time.
static constexpr double kTurnSeconds = 10;
/// More are refused by a daemon.
static constexpr size_t kMostWaiting = 20;

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

time_point quota_fleet::ClockOf(const daemon& item) const {
  return time_point(FromSeconds(kFirstTime + now_ * item.clock_rate));
}

void quota_fleet::Start(size_t index) {
  daemon& item = daemons_[index];
  item.is_alive = true;
  item.is_leaving = false;
  // The first ones have been up for long.
  item.started_at = now_ == 0 ? -kFirstTime : now_;
  const uint64_t id = index + 1 + daemons_.size() * ++item.starts;
  if (options_.way == quota_way::kEven) {
    item.policy =
        std::make_unique<even_quota_policy>(even_quota_policy::options{id});
  } else {
    item.policy =
        std::make_unique<owner_quota_policy>(owner_quota_policy::options{
            .self = item.address, .id = id, .fallback = options_.fallback});
  }
  if (now_ == 0) {
    TellFleet(index);
    return;
  }
  // Until it has heard of the others it takes all that are listed to live.
  std::vector<endpoint> listed;
  for (const daemon& other : daemons_) {
    listed.push_back(other.address);
  }
  item.policy->SetFleet(ClockOf(item), {.alive = listed,
                                        .known = daemons_.size(),
                                        .convergence_time = ConvergenceTime()});
  At(now_ + Uniform(0.2, 1.2), [this, index] { TellFleet(index); });
}

duration quota_fleet::ConvergenceTime() const {
  return FromSeconds(options_.detection_seconds + kNoticeSlack);
}

bool quota_fleet::Reaches(size_t from, size_t to) const {
  return daemons_[from].is_alive && daemons_[to].is_alive &&
         daemons_[from].side == daemons_[to].side;
}

void quota_fleet::TellFleet(size_t index) {
  daemon& item = daemons_[index];
  if (!item.is_alive) {
    return;
  }
  std::vector<endpoint> living;
  for (size_t i = 0; i < daemons_.size(); ++i) {
    if (i != index && Reaches(index, i) && !daemons_[i].is_leaving) {
      living.push_back(daemons_[i].address);
    }
  }
  item.policy->SetFleet(ClockOf(item), {.alive = living,
                                        .known = daemons_.size(),
                                        .convergence_time = ConvergenceTime(),
                                        .is_leaving = item.is_leaving});
}

void quota_fleet::Announce() {
  for (size_t i = 0; i < daemons_.size(); ++i) {
    if (std::exchange(daemons_[i].will_be_told, true)) {
      continue;
    }
    At(now_ +
           Uniform(options_.detection_seconds / 3, options_.detection_seconds),
       [this, i] {
         daemons_[i].will_be_told = false;
         TellFleet(i);
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

void quota_fleet::Cut(size_t count) {
  for (size_t i = 0; i < count; ++i) {
    daemons_[i].side = 1;
  }
  Announce();
}

void quota_fleet::Heal() {
  for (daemon& item : daemons_) {
    item.side = 0;
  }
  Announce();
}

void quota_fleet::Kill(std::span<const size_t> daemons, double down) {
  for (const size_t index : daemons) {
    daemons_[index].is_alive = false;
    At(now_ + down + Uniform(0, 0.3), [this, index] {
      Start(index);
      Announce();
    });
  }
  Announce();
}

void quota_fleet::Stop(size_t index, double grace) {
  daemons_[index].is_leaving = true;
  TellFleet(index);
  for (size_t i = 0; i < daemons_.size(); ++i) {
    At(now_ + Uniform(kLeastDelay, kLeaveSeconds), [this, i] { TellFleet(i); });
  }
  At(now_ + grace, [this, index] { Kill(std::vector<size_t>{index}, 1); });
}

void quota_fleet::At(double when, std::function<void()> action) {
  events_.emplace(when, std::move(action));
}

void quota_fleet::Submit(const sent_request& request) {
  daemon& item = daemons_[request.daemon];
  ++sent_;
  if (request.by_turns && now_ < item.turn_at) {
    item.waiting += request.waits && item.waiting < kMostWaiting ? 1 : 0;
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
      ClockOf(item),
      {.ticket = ticket,
       .subject = 77,
       .limit = item.limit,
       .weight = request.weight,
       .digest = request.digest,
       .max_wait =
           FromSeconds(std::max(0.0, request.deadline - now_) / kReturnPart)});
  Settle(request.daemon);
}

void quota_fleet::Settle(size_t index) {
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
  At(now_ + Uniform(kLeastDelay, kMostDelay), [this, from, to, sent] {
    if (!Reaches(from, to)) {
      return;
    }
    daemon& target = daemons_[to];
    const time_point now = ClockOf(target);
    if (const auto* ask = std::get_if<quota_query>(&sent.message)) {
      target.policy->OnQuery(now, *ask);
    } else {
      target.policy->OnReply(now, std::get<quota_reply>(sent.message));
    }
    Settle(to);
  });
}

void quota_fleet::AwaitTurn(const sent_request& request, double wait) {
  daemon& item = daemons_[request.daemon];
  item.turn_at = now_ + wait;
  item.waiting += request.waits ? 1 : 0;
  if (item.waiting == 0) {
    return;
  }
  At(item.turn_at, [this, request] {
    daemon& waiting = daemons_[request.daemon];
    if (waiting.waiting > 0 && now_ >= waiting.turn_at) {
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
    admissions_.push_back(
        {.at = now_, .weight = request.weight, .up = now_ - item.started_at});
    if (item.waiting > 0) {
      --item.waiting;
      Submit(request);
    }
    return;
  }
  const double wait = ToSeconds(decision.retry_after);
  if (request.by_turns) {
    AwaitTurn(request, wait);
    return;
  }
  if (request.is_repeat || wait > (request.deadline - now_) / kReturnPart) {
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
  if (callers.by_turns && callers.rate(now_) == 0) {
    At(now_ + kTickSeconds,
       [this, callers, until] { ScheduleArrivals(callers, until); });
    return;
  }
  const double gap = std::exponential_distribution<double>(
      callers.by_turns ? callers.rate(now_)
                       : rate / callers.mean_weight)(random_);
  if (now_ + gap > until) {
    return;
  }
  At(now_ + gap, [this, callers, until] {
    const size_t daemon = callers.choose(now_, random_);
    if (callers.by_turns) {
      Submit(
          {.daemon = daemon,
           .weight = 1,
           .digest = daemon + 1,
           .deadline = now_ + (callers.waits ? kReturnPart * kTurnSeconds : 0),
           .by_turns = true,
           .waits = callers.waits});
      ScheduleArrivals(callers, until);
      return;
    }
    // As prompts are: most are near the middle, a few five times as long.
    std::lognormal_distribution<double> weights(-0.32, 0.8);
    const double weight = std::min(callers.mean_weight * 5,
                                   callers.mean_weight * weights(random_));
    Submit({.daemon = daemon,
            .weight = weight,
            .digest = random_() | 1,
            .deadline = now_ + kCallerSeconds});
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
          daemons_[i].policy->OnTick(ClockOf(daemons_[i]));
          Settle(i);
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
  double most = 0;
  double sum = 0;
  size_t first = 0;
  const auto counted = [&](const admission& item) {
    return item.up >= least_up ? item.weight : 0;
  };
  for (const admission& item : admissions_) {
    sum += counted(item);
    while (admissions_[first].at <= item.at - window) {
      sum -= counted(admissions_[first++]);
    }
    most = std::max(most, sum);
  }
  return most;
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
