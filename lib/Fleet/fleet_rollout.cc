// The roll-out of weights while this daemon leads the fleet.
#include "cuminswitch/Fleet/boot_clock.h"
#include "cuminswitch/Fleet/engine_control.h"
#include "cuminswitch/Fleet/fleet_task.h"
#include "cuminswitch/Log/event_log.h"

namespace cuminswitch {

static constexpr duration kRolloutInterval = std::chrono::milliseconds(50);

void fleet_task::RunRollout(time_point now) {
  if (snapshot_ == nullptr || !item_watcher_.view().HasRead()) {
    return;
  }
  // Followers of the store are the first to see that there is no leader.
  if (item_watcher_.IsFollowing() || election_.IsLeading(now)) {
    election_.OnTick(now, snapshot_->leader);
  }
  const bool is_leading = election_.IsLeading(now);
  if (is_leading != was_leading_) {
    was_leading_ = is_leading;
    parts_.log.Write(log_class::kLifecycle,
                     log_line(is_leading ? "lead_taken" : "lead_lost")
                         .Add("fence", election_.fence()));
  }
  if (!election_.MaySendCommand(now)) {
    rollout_.Clear();
    PublishChanging();
    return;
  }
  const std::vector<rollout_step> steps =
      rollout_.OnTick(now, snapshot_->wanted_weights, upstreams_);
  // Before the commands, so that no peer sends a request to an engine that is
  // changing its weights.
  AnnounceChanging(steps);
  for (const rollout_step& step : steps) {
    Perform(step);
  }
  if (!rollout_.ListChanging().empty() || !rollout_.ListUnconfirmed().empty()) {
    rollout_timer_.Start(kRolloutInterval);
  }
}

void fleet_task::Perform(const rollout_step& step) {
  if (!step.command) {
    parts_.engines.QueryState(
        step, [this, step](const std::optional<engine_report>& report) {
          OnEngineReport(step, report);
        });
    return;
  }
  // The host may have been suspended since the decision. A command sent after
  // the lease has expired would conflict with those of the next leader.
  if (!election_.MaySendCommand(ReadBootClock())) {
    rollout_.OnCommandResult(ReadBootClock(), step.upstream,
                             command_result::kConflict);
    return;
  }
  log_line line("order_sent");
  line.Add("upstream", step.upstream)
      .Add("model", step.command->weights.model)
      .Add("version", step.command->weights.version)
      .Add("accepted_orders", step.command->accepted_orders)
      .Add("fence", election_.fence());
  if (const auto& choice = step.command->choice) {
    line.Add("why", ToString(choice->reason))
        .Add("changing", choice->concurrent)
        .Add("left_ms", choice->time_left);
  }
  parts_.log.Write(log_class::kStateChange, line);
  parts_.engines.SendCommand(
      step, election_.fence(), [this, step](command_result end) {
        parts_.log.Write(log_class::kStateChange,
                         log_line("order_ended")
                             .Add("upstream", step.upstream)
                             .Add("end", ToString(end)));
        rollout_.OnCommandResult(ReadBootClock(), step.upstream, end);
        AnnounceChanging({});
      });
}

void fleet_task::OnEngineReport(const rollout_step& step,
                                const std::optional<engine_report>& report) {
  const auto command =
      rollout_.OnReport(ReadBootClock(), step.upstream, report);
  AnnounceChanging({});
  if (command) {
    Perform(*command);
  }
}

}  // namespace cuminswitch
