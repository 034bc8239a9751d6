#include "concurrency_fleet.h"

#include <algorithm>

namespace cuminswitch {

static constexpr duration kTickInterval = std::chrono::milliseconds(50);
/// Time after which the other daemons notice that one was killed or started.
static constexpr duration kNoticeTime = std::chrono::milliseconds(800);
static constexpr duration kConvergenceTime = std::chrono::milliseconds(1'200);

concurrency_fleet::concurrency_fleet(const options& opts)
    : options_(opts),
      random_(opts.seed),
      daemons_(opts.daemons),
      upstreams_(opts.upstreams, fragile_upstream(opts.upstream)) {
  for (fragile_upstream& item : upstreams_) {
    item.SetRejectionLimit(opts.rejection_limit);
  }
  for (size_t i = 0; i < daemons_.size(); ++i) {
    Start(i);
  }
  UpdateFleet();
  ArriveRandomly();
}

endpoint concurrency_fleet::AddressOf(size_t daemon) {
  return {.address = "10.0." + std::to_string(daemon / 250) + "." +
                     std::to_string(daemon % 250 + 1),
          .port = 7000};
}

void concurrency_fleet::At(time_point at, std::function<void()> run) {
  events_.push({.at = at, .number = next_number_++, .run = std::move(run)});
}

duration concurrency_fleet::Latency() {
  std::uniform_int_distribution<int64_t> micros(
      options_.latency.count() / 2, options_.latency.count() * 3 / 2);
  return duration(micros(random_));
}

void concurrency_fleet::Start(size_t index) {
  daemon& item = daemons_[index];
  ++item.incarnation;
  item.permits =
      std::make_unique<concurrency_permits>(concurrency_permits::options{
          .self = AddressOf(index), .id = index * 1'000 + item.incarnation});
  item.is_leaving = false;
  item.queue.clear();
  item.in_flight.assign(upstreams_.size(), 0);
  item.unused.assign(upstreams_.size(), 0);
  item.rejected.assign(upstreams_.size(), 0);
  Tick(index, item.incarnation);
}

void concurrency_fleet::UpdateFleet() {
  for (size_t i = 0; i < daemons_.size(); ++i) {
    if (daemons_[i].permits == nullptr) {
      continue;
    }
    std::vector<endpoint> alive;
    std::vector<endpoint> leaving;
    for (size_t other = 0; other < daemons_.size(); ++other) {
      const bool is_reached = !daemons_[i].is_cut && !daemons_[other].is_cut;
      if (other != i && daemons_[other].permits != nullptr && is_reached) {
        (daemons_[other].is_leaving ? leaving : alive)
            .push_back(AddressOf(other));
      }
    }
    daemons_[i].permits->SetFleet(now_, {.alive = alive,
                                         .leaving = leaving,
                                         .possibly_active = daemons_.size(),
                                         .convergence_time = kConvergenceTime,
                                         .is_leaving = daemons_[i].is_leaving});
    Process(i);
  }
}

void concurrency_fleet::ArriveRandomly() {
  const double rate = options_.load * Capacity(std::chrono::seconds(1));
  std::exponential_distribution<double> gap(rate);
  At(now_ + FromSeconds(gap(random_)), [this] {
    Arrive();
    ArriveRandomly();
  });
}

void concurrency_fleet::Arrive() {
  const size_t index = random_() % daemons_.size();
  daemon& item = daemons_[index];
  if (item.permits == nullptr) {
    return;
  }
  item.queue.push_back(
      {.upstream = random_() % upstreams_.size(), .arrived = now_});
  Process(index);
}

void concurrency_fleet::AddHerd(size_t requests) {
  for (size_t i = 0; i < requests; ++i) {
    Arrive();
  }
}

void concurrency_fleet::Tick(size_t index, uint64_t incarnation) {
  At(now_ + kTickInterval, [this, index, incarnation] {
    daemon& item = daemons_[index];
    if (item.permits == nullptr || item.incarnation != incarnation) {
      return;
    }
    std::erase_if(item.queue, [&](const waiting& request) {
      return now_ - request.arrived > options_.deadline;
    });
    item.permits->OnTick(now_);
    Process(index);
    Tick(index, incarnation);
  });
}

void concurrency_fleet::Process(size_t index) {
  daemon& item = daemons_[index];
  for (bool has_changed = true; has_changed;) {
    for (const permit_change& change : item.permits->TakeChanges()) {
      uint32_t& unused = item.unused[change.upstream];
      unused = (change.is_new_owner ? 0 : unused) + change.granted;
    }
    std::erase_if(item.queue, [&](const waiting& request) {
      uint32_t& unused = item.unused[request.upstream];
      if (unused == 0) {
        return false;
      }
      --unused;
      Send(index, request.upstream);
      return true;
    });
    std::vector<concurrency_demand> demands;
    for (size_t i = 0; i < upstreams_.size(); ++i) {
      item.unused[i] = 0;
      concurrency_demand demand{.upstream = i,
                                .slots = options_.upstream.slots,
                                .rejection_limit = options_.rejection_limit,
                                .held = item.in_flight[i],
                                .rejected = item.rejected[i]};
      for (const waiting& request : item.queue) {
        if (request.upstream == i) {
          demand.oldest_wait =
              std::max(demand.oldest_wait, now_ - request.arrived);
          ++demand.wanted;
        }
      }
      demands.push_back(demand);
    }
    item.permits->SetDemand(now_, demands);
    const auto changes = item.permits->TakeChanges();
    has_changed = !changes.empty();
    for (const permit_change& change : changes) {
      uint32_t& unused = item.unused[change.upstream];
      unused = (change.is_new_owner ? 0 : unused) + change.granted;
    }
  }
  for (const outgoing_concurrency_message& message :
       item.permits->TakeMessages()) {
    Deliver(index, message);
  }
}

void concurrency_fleet::Deliver(size_t from,
                                const outgoing_concurrency_message& message) {
  ++message_count_;
  for (size_t to = 0; to < daemons_.size(); ++to) {
    if (AddressOf(to) != message.to) {
      continue;
    }
    // One connection between two daemons delivers messages in order.
    At(now_ + options_.latency, [this, from, to, sent = message.message] {
      daemon& item = daemons_[to];
      if (item.permits == nullptr || item.is_cut || daemons_[from].is_cut) {
        return;
      }
      if (const auto* report = std::get_if<concurrency_report>(&sent)) {
        item.permits->OnReport(now_, *report);
      } else {
        item.permits->OnGrant(now_, std::get<concurrency_grant>(sent));
      }
      Process(to);
    });
  }
}

void concurrency_fleet::Send(size_t index, size_t upstream) {
  ++daemons_[index].in_flight[upstream];
  const uint64_t request = next_request_++;
  sent_[request] = {.daemon = index,
                    .incarnation = daemons_[index].incarnation,
                    .upstream = upstream};
  At(now_ + Latency(),
     [this, upstream, request] { OnArrivalAt(upstream, request); });
}

void concurrency_fleet::OnArrivalAt(size_t upstream, uint64_t request) {
  const auto result = upstreams_[upstream].Arrive(now_, request);
  if (result == fragile_upstream::arrival::kAccepted) {
    WatchUpstream(upstream);
    return;
  }
  const bool was_rejected = result == fragile_upstream::arrival::kRejected;
  At(now_ + Latency(),
     [this, request, was_rejected] { OnEnd(request, was_rejected); });
  for (const uint64_t lost : upstreams_[upstream].TakeLost()) {
    At(now_ + Latency(), [this, lost] { OnEnd(lost, false); });
  }
}

void concurrency_fleet::WatchUpstream(size_t upstream) {
  const auto next = upstreams_[upstream].NextCompletion();
  if (!next) {
    return;
  }
  At(*next, [this, upstream] {
    for (const uint64_t done : upstreams_[upstream].TakeCompleted(now_)) {
      ++served_;
      At(now_ + Latency(), [this, done] { OnEnd(done, false); });
      WatchUpstream(upstream);
    }
  });
}

void concurrency_fleet::OnEnd(uint64_t request, bool was_rejected) {
  const auto found = sent_.extract(request);
  if (found.empty()) {
    return;
  }
  const sent_request& sent = found.mapped();
  daemon& item = daemons_[sent.daemon];
  if (item.permits == nullptr || item.incarnation != sent.incarnation) {
    return;
  }
  --item.in_flight[sent.upstream];
  item.rejected[sent.upstream] += was_rejected ? 1 : 0;
  Process(sent.daemon);
}

void concurrency_fleet::Run(duration time) {
  const time_point end = now_ + time;
  while (!events_.empty() && events_.top().at <= end) {
    const event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.run();
  }
  now_ = end;
}

void concurrency_fleet::SetQueueSize(uint32_t size) {
  for (fragile_upstream& item : upstreams_) {
    item.SetQueueSize(size);
  }
}

void concurrency_fleet::Kill(size_t daemon) {
  daemons_[daemon].permits.reset();
  std::erase_if(sent_, [&](const auto& item) {
    if (item.second.daemon != daemon) {
      return false;
    }
    upstreams_[item.second.upstream].Cancel(now_, item.first);
    return true;
  });
  At(now_ + kNoticeTime, [this] { UpdateFleet(); });
}

void concurrency_fleet::Restart(size_t daemon) {
  Start(daemon);
  // It knows the others from the store, and they get its first heartbeat.
  UpdateFleet();
}

void concurrency_fleet::BeginStop(size_t daemon) {
  daemons_[daemon].is_leaving = true;
  UpdateFleet();
}

void concurrency_fleet::Cut(size_t daemon) {
  daemons_[daemon].is_cut = true;
  At(now_ + kNoticeTime, [this] { UpdateFleet(); });
}

void concurrency_fleet::Connect(size_t daemon) {
  daemons_[daemon].is_cut = false;
  At(now_ + kNoticeTime, [this] { UpdateFleet(); });
}

uint32_t concurrency_fleet::CountCrashes() const {
  uint32_t count = 0;
  for (const fragile_upstream& item : upstreams_) {
    count += item.crash_count();
  }
  return count;
}

uint32_t concurrency_fleet::CountRejections() const {
  uint32_t count = 0;
  for (const fragile_upstream& item : upstreams_) {
    count += item.rejection_count();
  }
  return count;
}

double concurrency_fleet::Capacity(duration time) const {
  return static_cast<double>(options_.upstreams * options_.upstream.slots) *
         ToSeconds(time) / ToSeconds(options_.upstream.work);
}

}  // namespace cuminswitch
