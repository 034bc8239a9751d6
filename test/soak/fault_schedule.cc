#include "soak/fault_schedule.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <span>
#include <utility>

namespace cuminswitch::soak {

/// Between two things that are done.
static constexpr int kLeastGapMs = 40;
static constexpr int kMostGapMs = 450;
/// The same where some daemons are to be in touch.
static constexpr int kLeastDepartureGapMs = 200;
static constexpr int kMostDepartureGapMs = 1'300;
/// A departed upstream serves on for so long, and then comes back under another
/// id.
static constexpr int kServesOnMs = 8'000;
/// Upstreams of a kind that stay.
static constexpr int kLeastStaying = 2;
/// From SIGTERM to SIGKILL; a little over the settings' grace.
static constexpr int kGraceMs = 4'500;
/// The store's entries last so long without a sign of an upstream.
static constexpr int kLapseMs = 1'200;

fault_schedule::fault_schedule(event_base* base,
                               uint64_t seed,
                               soak_subject subject,
                               deployment& target)
    : base_(base),
      random_(seed),
      subject_(subject),
      target_(target),
      timer_(base, [this] { DoNext(); }) {}

void fault_schedule::Start() {
  DoNext();
}

void fault_schedule::Stop() {
  is_stopped_ = true;
  timer_.Cancel();
  for (lasting& item : lasting_) {
    if (!std::exchange(item.is_over, true)) {
      item.end();
    }
  }
  lasting_.clear();
}

void fault_schedule::Note(const std::string& what) const {
  std::cout << "  fault: " << what << "\n";
}

void fault_schedule::EndLater(int least_ms, int most_ms, action end) {
  lasting& item = lasting_.emplace_back();
  item.end = std::move(end);
  item.timer = std::make_unique<loop_timer>(base_, [&item] {
    item.is_over = true;
    item.end();
  });
  const auto span = static_cast<size_t>(most_ms - least_ms);
  item.timer->Start(
      std::chrono::milliseconds(least_ms + static_cast<int>(Pick(span + 1))));
}

void fault_schedule::DoNext() {
  if (is_stopped_) {
    return;
  }
  using step = void (fault_schedule::*)();
  static constexpr std::array<step, 13> kSteps = {
      &fault_schedule::KillDaemon,    &fault_schedule::StopDaemon,
      &fault_schedule::PauseDaemon,   &fault_schedule::ReloadDaemon,
      &fault_schedule::HarmStoreLink, &fault_schedule::HarmUpstreamLink,
      &fault_schedule::KillUpstream,  &fault_schedule::PauseUpstream,
      &fault_schedule::DrainUpstream, &fault_schedule::HarmStore,
      &fault_schedule::PauseStore,    &fault_schedule::ChangeConfiguration,
      &fault_schedule::NameWeights};
  static constexpr std::array<step, 12> kLimitSteps = {
      &fault_schedule::KillDaemon,    &fault_schedule::StopDaemon,
      &fault_schedule::PauseDaemon,   &fault_schedule::ReloadDaemon,
      &fault_schedule::HarmStoreLink, &fault_schedule::HarmStore,
      &fault_schedule::PauseStore,    &fault_schedule::ChangeConfiguration,
      &fault_schedule::NameLimit,     &fault_schedule::NameLimit,
      &fault_schedule::NameLimit,     &fault_schedule::NameLimit};
  static constexpr std::array<step, 8> kCrashSteps = {
      &fault_schedule::KillDaemon,    &fault_schedule::StopDaemon,
      &fault_schedule::PauseDaemon,   &fault_schedule::ReloadDaemon,
      &fault_schedule::HarmStoreLink, &fault_schedule::HarmStore,
      &fault_schedule::PauseStore,    &fault_schedule::ChangeConfiguration};
  static constexpr std::array<step, 12> kNoticeSteps = {
      &fault_schedule::KillDaemon,    &fault_schedule::StopDaemon,
      &fault_schedule::PauseDaemon,   &fault_schedule::ReloadDaemon,
      &fault_schedule::HarmStoreLink, &fault_schedule::HarmStore,
      &fault_schedule::PauseStore,    &fault_schedule::ChangeConfiguration,
      &fault_schedule::AskForRest,    &fault_schedule::AskForRest,
      &fault_schedule::AskForRest,    &fault_schedule::SayLeaving};
  static constexpr std::array<step, 14> kDepartureSteps = {
      &fault_schedule::KillDaemon,       &fault_schedule::StopDaemon,
      &fault_schedule::PauseDaemon,      &fault_schedule::HarmStoreLink,
      &fault_schedule::LoseStoreBriefly, &fault_schedule::LoseStoreBriefly,
      &fault_schedule::LoseStoreBriefly, &fault_schedule::LoseStore,
      &fault_schedule::KillAllDaemons,   &fault_schedule::ChangeConfiguration,
      &fault_schedule::DepartAnyhow,     &fault_schedule::DepartAnyhow,
      &fault_schedule::DepartAnyhow,     &fault_schedule::DepartAnyhow};
  std::span<const step> steps = kSteps;
  int least_gap = kLeastGapMs;
  int most_gap = kMostGapMs;
  if (subject_ == soak_subject::kLimits) {
    steps = kLimitSteps;
  } else if (subject_ == soak_subject::kCrashes) {
    steps = kCrashSteps;
  } else if (subject_ == soak_subject::kNotices) {
    steps = kNoticeSteps;
  } else if (subject_ == soak_subject::kDepartures) {
    steps = kDepartureSteps;
    least_gap = kLeastDepartureGapMs;
    most_gap = kMostDepartureGapMs;
  }
  const step next = steps[Pick(steps.size())];
  (this->*next)();
  timer_.Start(std::chrono::milliseconds(
      least_gap +
      static_cast<int>(Pick(static_cast<size_t>(most_gap - least_gap)))));
}

void fault_schedule::KillDaemon() {
  const size_t index = Pick(target_.daemons.size());
  Note("SIGKILL to " + target_.daemons[index].name);
  target_.EndDaemon(index, SIGKILL);
}

void fault_schedule::StopDaemon() {
  const size_t index = Pick(target_.daemons.size());
  const int start = target_.daemons[index].start;
  Note("SIGTERM to " + target_.daemons[index].name);
  target_.EndDaemon(index, SIGTERM);
  // A process that does not end in its grace is killed.
  EndLater(kGraceMs, kGraceMs, [this, index, start] {
    if (target_.daemons[index].start == start) {
      target_.EndDaemon(index, SIGKILL);
    }
  });
}

void fault_schedule::PauseDaemon() {
  const size_t index = Pick(target_.daemons.size());
  Note("SIGSTOP to " + target_.daemons[index].name);
  target_.PauseDaemon(index);
  EndLater(200, 3'500, [this, index] { target_.ResumeDaemon(index); });
}

void fault_schedule::ReloadDaemon() {
  const size_t index = Pick(target_.daemons.size());
  Note("SIGHUP to " + target_.daemons[index].name);
  target_.processes.Signal(target_.daemons[index].name, SIGHUP);
}

/// A fault that is not none.
static link_fault AnyFault(size_t choice) {
  return static_cast<link_fault>(1 + choice % (kLinkFaults - 1));
}

void fault_schedule::HarmStoreLink() {
  const size_t index = Pick(target_.daemons.size());
  const link_fault fault = AnyFault(Pick(kLinkFaults));
  Note("store link of " + target_.daemons[index].name + ", kind " +
       std::to_string(static_cast<int>(fault)));
  target_.HarmStoreLink(index, fault);
  EndLater(200, 4'000,
           [this, index] { target_.HarmStoreLink(index, link_fault::kNone); });
}

void fault_schedule::HarmUpstreamLink() {
  const size_t index = Pick(target_.upstreams.size());
  fault_proxy& link = *target_.upstreams[index].link;
  const link_fault fault = AnyFault(Pick(kLinkFaults));
  Note("link of " + target_.upstreams[index].id + ", kind " +
       std::to_string(static_cast<int>(fault)));
  link.SetFault(fault);
  EndLater(200, 2'500, [&link] { link.SetFault(link_fault::kNone); });
}

void fault_schedule::KillUpstream() {
  const size_t index = Pick(target_.upstreams.size());
  upstream_state& item = target_.upstreams[index];
  if (!target_.processes.IsRunning(item.name) || !item.is_listed) {
    return;
  }
  Note("SIGKILL to " + item.id);
  target_.processes.Signal(item.name, SIGCONT);
  target_.processes.Signal(item.name, SIGKILL);
  EndLater(kLapseMs, 2 * kLapseMs, [this, index] {
    target_.Unlist(index);
    target_.StartUpstream(index);
  });
  item.is_listed = false;
}

void fault_schedule::PauseUpstream() {
  upstream_state& item = target_.upstreams[Pick(target_.upstreams.size())];
  Note("SIGSTOP to " + item.id);
  item.is_paused = true;
  target_.processes.Signal(item.name, SIGSTOP);
  EndLater(100, kLapseMs, [this, &item] {
    item.is_paused = false;
    target_.processes.Signal(item.name, SIGCONT);
  });
}

void fault_schedule::DrainUpstream() {
  upstream_state& item = target_.upstreams[Pick(target_.upstreams.size())];
  Note("drain " + item.id);
  item.is_draining = true;
  EndLater(500, 3'000, [&item] { item.is_draining = false; });
}

void fault_schedule::HarmStore() {
  static constexpr std::array<const char*, 3> kModes = {"refuse", "silent",
                                                        "lost"};
  if (std::exchange(is_store_harmed_, true)) {
    return;
  }
  const char* mode = kModes[Pick(kModes.size())];
  Note(std::string("store ") + mode);
  target_.SetStoreFault(mode);
  EndLater(300, 3'000, [this] {
    is_store_harmed_ = false;
    target_.SetStoreFault("none");
  });
}

void fault_schedule::PauseStore() {
  Note("SIGSTOP to the store");
  target_.DisturbStore();
  target_.processes.Signal("store", SIGSTOP);
  EndLater(100, 1'500, [this] {
    target_.DisturbStore();
    target_.processes.Signal("store", SIGCONT);
  });
}

void fault_schedule::ChangeConfiguration() {
  // A credential is used while it is in force for sure, long after it came.
  may_use_second_ = false;
  has_second_ = !has_second_;
  Note(has_second_ ? "second credential added" : "second credential revoked");
  target_.PutConfiguration(has_second_);
}

void fault_schedule::NameLimit() {
  static constexpr std::array<const char*, 5> kRates = {"0.5", "1", "1.3", "3",
                                                        "10"};
  const size_t index = Pick(target_.upstreams.size());
  const char* rate = kRates[Pick(kRates.size())];
  Note(target_.upstreams[index].id + " takes " + rate + " requests a second");
  target_.Control(index, std::string("limit/") + rate);
  EndLater(2'000, 9'000,
           [this, index] { target_.Control(index, "limit/none"); });
}

void fault_schedule::AskForRest() {
  static constexpr std::array<const char*, 4> kTimes = {"0.3", "1", "2.5", "4"};
  const size_t index = Pick(target_.upstreams.size());
  const char* time = kTimes[Pick(kTimes.size())];
  Note(target_.upstreams[index].id + " asks for " + time + " s of rest");
  target_.Control(index, std::string("rest/") + time);
  EndLater(1'000, 6'000,
           [this, index] { target_.Control(index, "rest/none"); });
}

void fault_schedule::SayLeaving() {
  const size_t index = Pick(target_.upstreams.size());
  Note(target_.upstreams[index].id + " says that it leaves");
  target_.Control(index, "leaving/1");
  EndLater(3'000, 7'000, [this, id = target_.upstreams[index].id, index] {
    // Gone without a word in the store, and back under another id.
    if (target_.upstreams[index].id == id) {
      target_.processes.Signal(target_.upstreams[index].name, SIGKILL);
    }
  });
}

void fault_schedule::KillAllDaemons() {
  Note("SIGKILL to all daemons");
  for (size_t i = 0; i < target_.daemons.size(); ++i) {
    target_.EndDaemon(i, SIGKILL);
  }
}

void fault_schedule::Depart(departure how) {
  const size_t index = Pick(target_.upstreams.size());
  const upstream_state& item = target_.upstreams[index];
  const auto staying = std::count_if(
      target_.upstreams.begin(), target_.upstreams.end(),
      [&](const upstream_state& other) {
        return other.is_engine == item.is_engine && !other.is_departing;
      });
  if (item.is_departing || staying <= kLeastStaying) {
    return;
  }
  Note(item.id + " departs, in way " + std::to_string(static_cast<int>(how)));
  target_.Depart(index, how);
  EndLater(kServesOnMs, kServesOnMs, [this, index] {
    target_.processes.Signal(target_.upstreams[index].name, SIGKILL);
    target_.Unlist(index);
    // Its end is collected before its name is used again.
    EndLater(200, 400, [this, index] { target_.StartUpstream(index); });
  });
}

void fault_schedule::DepartAnyhow() {
  Depart(Pick(2) == 0 ? departure::kDraining : departure::kRemoved);
}

void fault_schedule::LoseStore() {
  if (std::exchange(is_store_harmed_, true)) {
    return;
  }
  const char* mode = Pick(2) == 0 ? "refuse" : "silent";
  Note(std::string("store ") + mode + " for long");
  target_.SetStoreFault(mode);
  EndLater(500, 2'000, [this] { Depart(departure::kLapsed); });
  EndLater(2'500, 4'500, [this] {
    is_store_harmed_ = false;
    target_.SetStoreFault("none");
    Depart(departure::kRemoved);
    EndLater(0, 1'500, [this] { DepartAnyhow(); });
  });
}

void fault_schedule::LoseStoreBriefly() {
  const size_t index = Pick(target_.daemons.size());
  Note(target_.daemons[index].name + " loses the store briefly");
  target_.HarmStoreLink(index, link_fault::kReset);
}

void fault_schedule::NameWeights() {
  Note("weights " + std::to_string(target_.weights() + 1) + " named");
  target_.NameWeights(target_.weights() + 1);
}

}  // namespace cuminswitch::soak
