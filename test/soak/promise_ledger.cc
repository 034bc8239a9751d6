#include "soak/promise_ledger.h"

namespace cuminswitch::soak {

/// The stand-ins' streams have this many events.
static constexpr int kEvents = 5;

void promise_ledger::Find(const std::string& promise, const std::string& what) {
  findings_.push_back(promise + ": " + what);
}

void promise_ledger::OnSent(const sent_request& request) {
  requests_[request.id].request = request;
}

void promise_ledger::OnRun(const std::string& id,
                           const std::string& workspace,
                           const std::string& upstream) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    Find("unasked", upstream + " ran " + id + ", which nobody sent");
    return;
  }
  record& item = found->second;
  if (workspace != item.request.workspace) {
    Find("unasked", id + " ran for workspace " + workspace);
  }
  if (++item.runs == 2 && item.request.is_once) {
    Find("twice", id + " ran again at " + upstream);
  }
}

void promise_ledger::OnLimited(const limit_check::arrival& item) {
  if (const auto broken = limits_.OnArrival(item)) {
    Find("limit", *broken);
  }
}

void promise_ledger::OnRested(const notice_arrival& item,
                              std::chrono::milliseconds rest) {
  if (const auto broken = notices_.OnBackoffRequested(item, rest)) {
    Find("rest", *broken);
  }
}

void promise_ledger::OnLeft(const notice_arrival& item) {
  if (const auto broken = notices_.OnLeavingArrival(item)) {
    Find("drain", *broken);
  }
}

void promise_ledger::OnArrivalAtDeparted(const std::string& upstream,
                                         wall_time at,
                                         bool is_daemon_in_touch) {
  if (const auto broken =
          departures_.OnArrival(upstream, at, is_daemon_in_touch)) {
    Find("drain", *broken);
  }
}

void promise_ledger::OnMaybeCrash(const std::string& id, bool is_daemon_sound) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || found->second.request.crashing_as.empty()) {
    return;
  }
  if (const auto broken =
          crashes_.OnCrash(found->second.request.crashing_as, is_daemon_sound,
                           std::chrono::steady_clock::now())) {
    Find("budget", *broken);
  }
}

const endpoint* promise_ledger::DaemonOf(const std::string& id) const {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second.request.daemon;
}

void promise_ledger::OnOrder(const std::string& upstream,
                             const std::string& holder,
                             uint64_t fence) {
  if (fence < fences_[upstream]) {
    Find("one", upstream + " got fence " + std::to_string(fence) + " after " +
                    std::to_string(fences_[upstream]));
  }
  fences_[upstream] = fence;
  const auto [known, is_new] = holders_.try_emplace(fence, holder);
  if (known->second != holder) {
    Find("one", "fence " + std::to_string(fence) + " is used by " + holder +
                    " and " + known->second);
  }
}

static std::string WholeStream() {
  std::string text;
  for (int i = 1; i <= kEvents; ++i) {
    const std::string number = std::to_string(i);
    text.append("id: ").append(number).append("\ndata: event ");
    text.append(number).append("\n\n");
  }
  return text;
}

void promise_ledger::CheckSuccess(const sent_request& request,
                                  const seen_answer& answer) {
  if (answer.echoed_id != request.id) {
    Find("mixed", request.id + " got the answer of " + answer.echoed_id);
  }
  if (!answer.is_whole) {
    return;
  }
  ++served_;
  const bool is_right = request.is_stream
                            ? answer.body == WholeStream()
                            : answer.body.starts_with("answer of ");
  if (!is_right) {
    Find("mixed",
         request.id + " got a wrong body that looks complete: " + answer.body);
  }
}

void promise_ledger::OnAnswer(const sent_request& request,
                              const seen_answer& answer) {
  requests_[request.id].told = answer.status;
  if (answer.names_limit) {
    limits_.OnTold(request.daemon, answer.upstream,
                   std::chrono::steady_clock::now());
  }
  if (answer.says_leaving) {
    notices_.OnLeavingTold(request.daemon, answer.upstream,
                           std::chrono::steady_clock::now());
  }
  if (answer.is_overdue && answer.is_daemon_sound) {
    Find("overdue", request.id + " " + request.path + " had no end in time");
  }
  if (answer.status == 0) {
    if (answer.is_daemon_sound && !answer.is_overdue) {
      Find("lost", request.id + " " + request.path +
                       " ended without an answer at a sound daemon");
    }
    return;
  }
  if (answer.status == 200) {
    CheckSuccess(request, answer);
  } else if (answer.status == 400 || answer.status == 401 ||
             answer.status == 403 || answer.status == 404) {
    Find("denied", request.id + " got " + std::to_string(answer.status));
  } else if ((answer.status == 503 || answer.status == 429) &&
             !answer.has_retry_after) {
    Find("refused", request.id + " was refused without a time to come back");
  }
}

void promise_ledger::Close() {
  for (const auto& [id, item] : requests_) {
    const bool was_refused = item.told == 408 || item.told == 421 ||
                             item.told == 429 || item.told == 503;
    if (was_refused && item.request.is_once && item.runs > 0) {
      Find("refused",
           id + " was told " + std::to_string(item.told) + " and ran");
    }
  }
}

}  // namespace cuminswitch::soak
