#include "cuminswitch/Edge/slot_reservation.h"

#include <utility>

#include "cuminswitch/Http1/upstream_pool.h"
#include "cuminswitch/Support/status_code.h"

namespace cuminswitch {

/// An upstream responds without queueing, within a few round trips.
static constexpr std::chrono::milliseconds kTimeout{150};
static constexpr std::chrono::milliseconds kConnectTimeout{100};
/// Longer responses are not reservations.
static constexpr size_t kMaxBodySize = 4096;

slot_reservation::slot_reservation(const options& opts,
                                   event_base* base,
                                   upstream_pool& pool,
                                   const edge_protocol& protocol,
                                   end_handler on_end)
    : protocol_(protocol), on_end_(std::move(on_end)), timer_(base, [this] {
        call_.reset();
        End({.status = status_, .is_silent = true});
      }) {
  timer_.Start(kTimeout);
  http_headers headers = opts.call.headers;
  headers.push_back({.name = "Host", .value = opts.to.ToString()});
  call_ = pool.Start({.to = opts.to,
                      .method = "POST",
                      .target = opts.call.target,
                      .headers = std::move(headers),
                      .body = opts.call.body,
                      .connect_timeout = kConnectTimeout},
                     *this);
}

slot_reservation::~slot_reservation() = default;

response_owner slot_reservation::OwnerOf(const message_head& head) const {
  // A reservation has no identifier that its response could state.
  return protocol_.ReadResponse(head).attempt.empty()
             ? response_owner::kUnstated
             : response_owner::kOtherCall;
}

void slot_reservation::OnResponseHead(const message_head& head) {
  status_ = head.status;
}

void slot_reservation::OnResponseBody(std::string_view data) {
  body_.append(data.substr(0, kMaxBodySize - body_.size()));
}

void slot_reservation::OnCallEnd(upstream_call_result end) {
  const bool is_granted =
      end == upstream_call_result::kComplete && status_ == status_code::kOk;
  End({.id = is_granted ? protocol_.ReadReservation(body_) : std::string(),
       .status = status_,
       .is_unreachable = end == upstream_call_result::kNotConnected});
}

void slot_reservation::End(const reservation_result& result) {
  timer_.Cancel();
  if (const end_handler on_end = std::exchange(on_end_, nullptr)) {
    on_end(result);
  }
}

}  // namespace cuminswitch
