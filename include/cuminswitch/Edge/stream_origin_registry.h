/// \file
/// Distributes the origins of streams over the fleet and finds them again.
#ifndef CUMINSWITCH_EDGE_STREAM_ORIGIN_REGISTRY_H_
#define CUMINSWITCH_EDGE_STREAM_ORIGIN_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cuminswitch/Edge/stream_origin_table.h"
#include "cuminswitch/Fleet/peer_frame.h"
#include "cuminswitch/Protocol/ids.h"
#include "cuminswitch/Protocol/stream_origin.h"
#include "cuminswitch/Support/time.h"

namespace cuminswitch {

/// Who knew the origin of a stream.
enum class origin_source : uint8_t {
  /// This daemon.
  kSelf,
  kPeer,
  /// All daemons that were asked replied that they do not know it.
  kNone,
  /// Some daemons did not reply, and the others do not know it.
  kNoReply,
};

std::string_view ToString(origin_source source);

/// The end of a search for a stream's origin.
struct found_origin {
  request_id request = 0;
  uint64_t stream = 0;
  /// Nothing if no daemon that was reached knows it.
  std::optional<software_tag> software;
  origin_source source = origin_source::kNone;
  size_t asked = 0;
};

/// Tells several peers at which software version each stream of this daemon
/// begins, before the stream's first event, so that its caller can resume it
/// anywhere after this daemon has ended. Peers are chosen by the stream, so
/// that every daemon knows whom to ask. Has no clock and does no I/O.
class stream_origin_registry {
 public:
  /// The daemon with the peer address \p self started at \p started.
  stream_origin_registry(endpoint self, time_point started)
      : self_(std::move(self)), started_(started) {}

  /// Sets the other daemons that are alive. Streams in progress are reported to
  /// those of them that are new.
  void SetPeers(time_point now, std::span<const daemon_record> alive);
  /// Records that \p request, which begins or resumes a stream, is sent to an
  /// upstream with \p origin.
  void OnDispatch(time_point now,
                  request_id request,
                  const stream_origin& origin);
  void OnEnd(request_id request) { active_.erase(request); }
  /// Lists the origins of this daemon's streams in progress.
  std::vector<stream_origin> ListActive(time_point now) const;

  /// Searches for the origin of \p stream, which \p request resumes.
  void Find(time_point now, request_id request, uint64_t stream);
  void OnReport(time_point now, const origin_report& report);
  void OnQuery(time_point now, const origin_query& query);
  void OnReply(time_point now, const origin_reply& reply);
  /// Ends searches whose replies are overdue, and forgets old origins.
  void OnTick(time_point now);

  /// Returns the searches that ended since the last call.
  std::vector<found_origin> TakeFound() { return std::exchange(found_, {}); }
  std::vector<outgoing_origin_message> TakeMessages() {
    return std::exchange(messages_, {});
  }
  /// Number of streams whose origin is known.
  size_t size() const { return table_.size(); }

 private:
  struct peer {
    endpoint address;
    uint64_t address_hash = 0;
    uint64_t incarnation = 0;
    uint64_t domain_hash = 0;
  };
  struct active_stream {
    stream_origin origin;
    time_point recorded_at{};
    /// Identifies the peers, with their incarnations, that know the origin.
    std::vector<uint64_t> informed;
  };
  struct search {
    request_id request = 0;
    uint64_t stream = 0;
    time_point deadline{};
    /// Hashes of the addresses of the peers that were asked.
    std::vector<uint64_t> asked;
    size_t awaited = 0;
  };

  /// Returns at most \p count peers in the order in which they are to know
  /// \p stream: by rendezvous hashing, one of each failure domain in turn.
  std::vector<const peer*> Choose(uint64_t stream, size_t count) const;
  /// Reports the stream to those of its peers that do not know it.
  void Inform(time_point now, active_stream& item);
  /// Asks the peers that may know the origin and have not been asked.
  void Ask(uint64_t ticket, search& item);
  /// Ends the search with what this daemon knows by now. \p source names the
  /// origin's source, or why it is unknown unless this daemon knows it.
  void EndSearch(time_point now, const search& item, origin_source source);

  endpoint self_;
  time_point started_;
  std::vector<peer> peers_;
  stream_origin_table table_;
  std::unordered_map<request_id, active_stream> active_;
  /// By ticket.
  std::map<uint64_t, search> searches_;
  uint64_t next_ticket_ = 1;
  std::vector<found_origin> found_;
  std::vector<outgoing_origin_message> messages_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_EDGE_STREAM_ORIGIN_REGISTRY_H_
