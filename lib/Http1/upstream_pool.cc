#include "cuminswitch/Http1/upstream_pool.h"

#include <algorithm>
#include <utility>

#include "cuminswitch/Net/loop_timer.h"
#include "host_prober.h"
#include "pooled_call.h"
#include "upstream_connection.h"

namespace cuminswitch {

/// Idle connections pooled per upstream whose limit is unknown. Small hosts
/// have few file descriptors.
static constexpr size_t kMaxIdlePerUpstream = 16;

upstream_pool::upstream_pool(event_base* base, byte_account* account)
    : base_(base),
      account_(account == nullptr ? own_account_ : *account),
      prober_(std::make_unique<host_prober>(base)) {}

upstream_pool::~upstream_pool() {
  *alive_ = false;
}

std::unique_ptr<upstream_call> upstream_pool::Start(
    const upstream_request& request,
    upstream_handler& handler) {
  std::unique_ptr<upstream_connection> connection = Acquire(request);
  upstream_connection& raw = *connection;
  auto call =
      std::make_unique<pooled_call>(*this, std::move(connection), handler);
  raw.Send(request, *call);
  return call;
}

std::unique_ptr<upstream_connection> upstream_pool::Acquire(
    const upstream_request& request) {
  const auto found = idle_.find(request.to);
  if (found != idle_.end() && !found->second.empty() &&
      found->second.back()->IdleFor() < request.max_idle) {
    std::unique_ptr<upstream_connection> connection =
        std::move(found->second.back());
    found->second.pop_back();
    return connection;
  }
  ++opened_;
  return std::make_unique<upstream_connection>(*this, request.to);
}

void upstream_pool::Forget(const endpoint& to) {
  idle_.erase(to);
}

size_t upstream_pool::IdleLimit(const endpoint& to) const {
  const std::optional<size_t> limit =
      idle_limit_ ? idle_limit_(to) : std::nullopt;
  return limit.value_or(kMaxIdlePerUpstream);
}

void upstream_pool::TrimIdle() {
  for (auto& [to, pooled] : idle_) {
    const size_t limit = IdleLimit(to);
    while (pooled.size() > limit) {
      // The least recently used connection.
      std::unique_ptr<upstream_connection> oldest = std::move(pooled.front());
      pooled.erase(pooled.begin());
      Release(std::move(oldest));
    }
  }
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

void upstream_pool::ReturnToPool(
    std::unique_ptr<upstream_connection> connection) {
  auto& pooled = idle_[connection->to()];
  if (connection->IsReusable() && pooled.size() < IdleLimit(connection->to())) {
    pooled.push_back(std::move(connection));
    return;
  }
  Release(std::move(connection));
}

void upstream_pool::DropIdle(upstream_connection* connection) {
  const auto found = idle_.find(connection->to());
  if (found == idle_.end()) {
    return;
  }
  auto& pooled = found->second;
  const auto item = std::find_if(
      pooled.begin(), pooled.end(),
      [connection](const auto& other) { return other.get() == connection; });
  if (item == pooled.end()) {
    return;
  }
  std::unique_ptr<upstream_connection> dropped = std::move(*item);
  pooled.erase(item);
  if (pooled.empty()) {
    idle_.erase(found);
  }
  Release(std::move(dropped));
}

void upstream_pool::Release(std::unique_ptr<upstream_connection> connection) {
  std::shared_ptr<upstream_connection> shared = std::move(connection);
  shared->SetReading(false);
  CallLater(base_, [shared] {});
}

pooled_call::pooled_call(upstream_pool& pool,
                         std::unique_ptr<upstream_connection> connection,
                         upstream_handler& handler)
    : pool_(pool),
      connection_(std::move(connection)),
      handler_(handler),
      is_on_reused_connection_(connection_->HasServed()) {}

pooled_call::~pooled_call() {
  if (connection_ != nullptr) {
    connection_->Cancel();
    pool_.Release(std::move(connection_));
  }
}

void pooled_call::PauseReading() {
  if (connection_ != nullptr) {
    connection_->SetReading(false);
  }
}

void pooled_call::ResumeReading() {
  if (connection_ != nullptr) {
    connection_->SetReading(true);
  }
}

void pooled_call::End(upstream_call_result result, call_end_cause cause) {
  end_cause_ = cause;
  connection_->SetReading(true);
  pool_.ReturnToPool(std::move(connection_));
  handler_.OnCallEnd(result);
}

}  // namespace cuminswitch
