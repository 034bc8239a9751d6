#include "scarce_fleet.h"

#include <algorithm>
#include <string>

#include "cuminswitch/Admission/load_shedder.h"
#include "cuminswitch/Admission/urgency_shedder.h"

namespace cuminswitch {

static constexpr std::array<double, 2> kWork = {0.1, 0.03};
static constexpr std::array<double, 2> kTarget = {0.5, 1.5};
static constexpr std::array<priority_class, 2> kClass = {
    priority_class::kInteractive, priority_class::kStandard};
static constexpr double kStep = 0.01;
static constexpr int kStepsPerReport = 54;

scarce_fleet::scarce_fleet(const options& opts)
    : options_(opts),
      daemons_(opts.daemons,
               {.pressure = {},
                .waiting = std::vector<double>(opts.engines),
                .reported = std::vector<double>(opts.engines)}),
      engines_(opts.engines) {}

void scarce_fleet::KeepDaemons(size_t count) {
  for (size_t i = count; i < daemons_.size(); ++i) {
    for (size_t k = 0; k < engines_.size(); ++k) {
      engines_[k].reported -= daemons_[i].reported[k];
    }
  }
  daemons_.resize(count);
}

double scarce_fleet::ExpectQueue(const daemon& from, size_t engine) const {
  return engines_[engine].reported - from.reported[engine] +
         from.waiting[engine];
}

double scarce_fleet::RefusalChanceOf(daemon& from,
                                     size_t class_index,
                                     double queue) {
  const double target = kTarget[class_index];
  const priority_class priority = kClass[class_index];
  if (options_.mode == scarce_mode::kByOwnTarget) {
    return RefusalChance({.expected = FromSeconds(queue + kWork[class_index]),
                          .target = FromSeconds(target),
                          .caller_idle_timeout = FromSeconds(5),
                          .priority = priority});
  }
  const double turn = queue * from.pressure.ShareAhead(now_, 1, priority);
  from.pressure.OnArrival(now_, 1, priority, turn / target);
  return ScarcityChance(
      {.queue = FromSeconds(turn),
       .prefill = FromSeconds(kWork[class_index]),
       .target = FromSeconds(target),
       .caller_idle_timeout = FromSeconds(5),
       .more_urgent_wait =
           from.pressure.FindMoreUrgent(now_, 1, priority).wait_ratio});
}

void scarce_fleet::Offer(size_t class_index) {
  const size_t index = random_() % daemons_.size();
  daemon& from = daemons_[index];
  const size_t first = random_() % engines_.size();
  const size_t second = random_() % engines_.size();
  const size_t chosen =
      ExpectQueue(from, first) < ExpectQueue(from, second) ? first : second;
  const double chance =
      RefusalChanceOf(from, class_index, ExpectQueue(from, chosen));
  const double work = kWork[class_index];
  counts_[class_index].offered += work;
  if (std::uniform_real_distribution<>()(random_) < chance) {
    counts_[class_index].refused += work;
    return;
  }
  from.waiting[chosen] += work;
  from.pressure.AddWaiting(1, kClass[class_index], work);
  engines_[chosen].waiting[class_index].push_back(
      {.arrived = now_, .daemon = index, .class_index = class_index});
}

void scarce_fleet::Work(size_t index) {
  engine& item = engines_[index];
  item.done += kStep;
  for (std::deque<job>& queue : item.waiting) {
    while (!queue.empty() && kWork[queue.front().class_index] <= item.done) {
      const job done = queue.front();
      const double work = kWork[done.class_index];
      queue.pop_front();
      item.done -= work;
      const double took = ToSeconds(now_ - done.arrived);
      counts_[done.class_index].in_time +=
          took <= kTarget[done.class_index] ? work : 0;
      if (done.daemon < daemons_.size()) {
        daemons_[done.daemon].waiting[index] -= work;
        daemons_[done.daemon].pressure.AddWaiting(1, kClass[done.class_index],
                                                  -work);
      }
    }
    if (!queue.empty()) {
      return;
    }
  }
  item.done = 0;
}

void scarce_fleet::Report(size_t from) {
  daemon& sender = daemons_[from];
  for (size_t k = 0; k < engines_.size(); ++k) {
    engines_[k].reported += sender.waiting[k] - sender.reported[k];
  }
  sender.reported = sender.waiting;
  const auto report = sender.pressure.Report(now_);
  for (size_t to = 0; to < daemons_.size(); ++to) {
    if (to != from &&
        std::uniform_real_distribution<>()(random_) >= options_.loss) {
      daemons_[to].pressure.OnPeer(now_, std::to_string(from), report);
    }
  }
}

std::array<scarce_fleet::counts, 2> scarce_fleet::Run(double load,
                                                      double seconds) {
  counts_ = {};
  const double capacity = static_cast<double>(engines_.size()) * kStep;
  const int steps = static_cast<int>(seconds / kStep);
  for (int step = 0; step < steps; ++step) {
    now_ += FromSeconds(kStep);
    for (size_t i = 0; i < kWork.size(); ++i) {
      std::poisson_distribution<int> arrivals(load * capacity / 2 / kWork[i]);
      for (int count = arrivals(random_); count > 0; --count) {
        Offer(i);
      }
    }
    for (size_t i = 0; i < engines_.size(); ++i) {
      Work(i);
    }
    for (size_t i = 0; i < daemons_.size(); ++i) {
      if ((step + static_cast<int>(i)) % kStepsPerReport == 0) {
        Report(i);
      }
    }
  }
  // Of requests that are still waiting, those within their target are left out.
  for (const engine& item : engines_) {
    for (const std::deque<job>& queue : item.waiting) {
      for (const job& left : queue) {
        const size_t i = left.class_index;
        const bool is_open = ToSeconds(now_ - left.arrived) <= kTarget[i];
        counts_[i].offered -= is_open ? kWork[i] : 0;
      }
    }
  }
  return counts_;
}

}  // namespace cuminswitch
