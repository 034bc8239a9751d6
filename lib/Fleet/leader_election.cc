#include "cuminswitch/Fleet/leader_election.h"

#include <utility>

namespace cuminswitch {

/// The lease is renewed three times within its lifetime, so that one lost reply
/// does not end it.
static constexpr duration kRenewInterval = std::chrono::milliseconds(450);
/// A command must arrive at its engine before the lease expires at the store,
/// so the leader stops sending this long before.
static constexpr duration kSafetyMargin = std::chrono::milliseconds(250);
/// A successor sends no commands for the handover gap, so a leader outlasts a
/// short loss of contact.
static constexpr duration kStandDownDelay = std::chrono::seconds(1);
static constexpr duration kRetryInterval = std::chrono::milliseconds(400);

leader_election::leader_election(options opts, item_store& store)
    : options_(std::move(opts)), store_(store) {}

leader_election::~leader_election() {
  *alive_ = false;
}

bool leader_election::MaySendCommand(time_point now) const {
  return IsLeading(now) && now >= commands_allowed_from_;
}

void leader_election::OnTick(time_point now, const std::string& leader) {
  now_ = now;
  if (is_calling_ || has_resigned_) {
    return;
  }
  if (ineligible_since_ && now - *ineligible_since_ >= kStandDownDelay) {
    EndTerm();
    return;
  }
  if (now < next_call_) {
    return;
  }
  if (lease_ != 0 && fence_ != 0) {
    Renew(now);
    return;
  }
  if (!leader.empty() || ineligible_since_) {
    vacant_since_ = {};
    return;
  }
  if (vacant_since_ == time_point()) {
    vacant_since_ = now;
  }
  if (now - vacant_since_ >= options_.claim_delay) {
    Claim(now);
  }
}

void leader_election::Claim(time_point now) {
  is_calling_ = true;
  store_.GrantLease(options_.lease_time,
                    [this, alive = alive_, now](const store_lease& reply) {
                      if (*alive) {
                        OnLease(now, reply);
                      }
                    });
}

void leader_election::OnLease(time_point called_at, const store_lease& reply) {
  if (reply.status != store_status::kDone) {
    is_calling_ = false;
    next_call_ = now_ + kRetryInterval;
    return;
  }
  lease_ = reply.lease;
  const duration lifetime = reply.time_to_live - kSafetyMargin;
  const auto done = [this, alive = alive_, called_at,
                     lifetime](const store_write& written) {
    if (!*alive) {
      return;
    }
    is_calling_ = false;
    next_call_ = now_ + kRetryInterval;
    if (written.status != store_status::kDone) {
      // A write without reply may have been executed. Then the key expires with
      // the lease, which is no longer renewed.
      DropLeadership();
      return;
    }
    fence_ = written.revision;
    valid_until_ = called_at + lifetime;
    next_call_ = called_at + kRenewInterval;
    // The predecessor sent its last command before its lease expired, and this
    // key could only be written after that.
    commands_allowed_from_ = now_ + options_.handover_gap;
  };
  store_.Write({.key = options_.key,
                .value = options_.self_name,
                .expected = 0,
                .lease = lease_},
               done);
}

void leader_election::Renew(time_point now) {
  is_calling_ = true;
  next_call_ = now + kRenewInterval;
  const auto done = [this, alive = alive_, now](const store_lease& reply) {
    if (!*alive) {
      return;
    }
    is_calling_ = false;
    if (reply.status == store_status::kDone) {
      valid_until_ = now + reply.time_to_live - kSafetyMargin;
    } else if (reply.status == store_status::kNoLease) {
      DropLeadership();
    }
  };
  store_.KeepLease(lease_, done);
}

void leader_election::DropLeadership() {
  lease_ = 0;
  fence_ = 0;
  valid_until_ = {};
  vacant_since_ = {};
}

void leader_election::EndTerm() {
  if (lease_ != 0) {
    store_.EndLease(lease_);
  }
  DropLeadership();
}

void leader_election::SetEligible(time_point now, bool on) {
  if (on) {
    ineligible_since_.reset();
  } else if (!ineligible_since_) {
    ineligible_since_ = now;
  }
}

void leader_election::Resign() {
  has_resigned_ = true;
  EndTerm();
}

}  // namespace cuminswitch
