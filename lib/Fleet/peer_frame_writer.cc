// Encoding of frames between daemons.
#include <flatbuffers/flatbuffers.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "cuminswitch/Fleet/packed_bytes.h"
#include "cuminswitch/Fleet/peer_frame.h"
#include "fleet_generated.h"

namespace cuminswitch {

namespace {

using builder = flatbuffers::FlatBufferBuilder;

/// Encodes items as a buffer of its own, to be compressed as a whole.
builder WriteItems(std::span<const item_change> changes) {
  builder out;
  std::vector<flatbuffers::Offset<fleet_wire::item>> items;
  for (const item_change& change : changes) {
    const std::string value = change.value.value_or(std::string());
    items.push_back(fleet_wire::Createitem(
        out, out.CreateString(change.key),
        out.CreateVector(reinterpret_cast<const uint8_t*>(value.data()),
                         value.size()),
        !change.value.has_value(), change.revision));
  }
  out.Finish(fleet_wire::Createitem_list(out, out.CreateVector(items)));
  return out;
}

int64_t ToMillis(duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

uint16_t Saturate(int64_t value) {
  return static_cast<uint16_t>(std::clamp<int64_t>(value, 0, UINT16_MAX));
}

std::vector<fleet_wire::observation> WriteObservations(
    std::span<const upstream_observation> observations) {
  std::vector<fleet_wire::observation> list;
  for (const upstream_observation& item : observations) {
    list.emplace_back(item.upstream, static_cast<uint32_t>(item.incarnation),
                      Saturate(ToMillis(item.age)), Saturate(item.running),
                      Saturate(item.waiting), Saturate(item.slots),
                      Saturate(item.work_percent),
                      static_cast<uint8_t>(item.refusal));
  }
  return list;
}

std::vector<fleet_wire::limit> WriteLimits(
    std::span<const limit_update> limits) {
  std::vector<fleet_wire::limit> list;
  for (const limit_update& item : limits) {
    list.emplace_back(item.upstream, item.rate, item.age.count(),
                      item.has_ended);
  }
  return list;
}

/// Writes the body of a frame and returns its offset; `type` is its type.
class body_writer {
 public:
  explicit body_writer(builder& out) : out_(out) {}

  fleet_wire::body type() const { return type_; }

  flatbuffers::Offset<void> operator()(const heartbeat_frame& frame) {
    type_ = fleet_wire::body_beat;
    std::vector<std::string> recent_peers;
    for (const endpoint& item : frame.recent_peers) {
      recent_peers.push_back(item.ToString());
    }
    std::vector<fleet_wire::load> loads;
    for (const upstream_backlog& item : frame.backlogs) {
      loads.emplace_back(item.upstream, item.tokens);
    }
    std::vector<fleet_wire::prefix> prefixes;
    for (const placed_prefix& item : frame.prefixes) {
      prefixes.emplace_back(item.prefix, item.upstream,
                            static_cast<uint32_t>(item.incarnation),
                            item.saved_weights);
    }
    const std::vector<fleet_wire::limit> limits = WriteLimits(frame.limits);
    const std::vector<fleet_wire::limit> rejection_limits =
        WriteLimits(frame.rejection_limits);
    std::vector<fleet_wire::crash> crashes;
    for (const crash_report& item : frame.quarantine.crashes) {
      crashes.emplace_back(item.request.high, item.request.low, item.upstream,
                           item.age.count(), item.took.count());
    }
    std::vector<fleet_wire::completion> completions;
    for (const completion_report& item : frame.quarantine.completions) {
      completions.emplace_back(item.request.high, item.request.low,
                               item.age.count());
    }
    std::vector<fleet_wire::upstream_response> responses;
    for (const response_report& item : frame.quarantine.responses) {
      responses.emplace_back(item.upstream, item.age.count());
    }
    std::vector<flatbuffers::Offset<fleet_wire::member>> members;
    for (const member_update& item : frame.members) {
      members.push_back(WriteMember(item));
    }
    std::vector<flatbuffers::Offset<fleet_wire::publication>> publications;
    for (const publication_report& item : frame.publications) {
      publications.push_back(fleet_wire::Createpublication(
          out_, out_.CreateString(item.target), out_.CreateString(item.version),
          out_.CreateString(item.superseded), item.age.count()));
    }
    const fleet_wire::prompt_mix mix(
        static_cast<float>(frame.mix.requests),
        static_cast<float>(frame.mix.prompt_tokens),
        static_cast<float>(frame.mix.short_prefill),
        static_cast<float>(frame.mix.long_prefill),
        static_cast<float>(frame.mix.short_held),
        static_cast<float>(frame.mix.seconds), frame.mix.reserves_engines);
    const std::vector<fleet_wire::observation> observations =
        WriteObservations(frame.observations);
    std::vector<fleet_wire::pressure> pressures;
    for (const target_pressure& item : frame.admissions.pressures) {
      pressures.emplace_back(item.target, static_cast<float>(item.wait_ratio),
                             static_cast<float>(item.weight),
                             static_cast<uint8_t>(item.priority));
    }
    const daemon_record& sender = frame.sender;
    const freshness_record freshness =
        frame.freshness.value_or(freshness_record());
    return fleet_wire::Createbeat(
               out_, out_.CreateString(sender.name), sender.incarnation,
               out_.CreateString(sender.peer_address.ToString()),
               out_.CreateString(sender.caller_address.ToString()),
               out_.CreateString(sender.failure_domain), sender.is_ready,
               sender.is_leaving, sender.has_store, sender.revision,
               out_.CreateVectorOfStrings(recent_peers),
               out_.CreateVectorOfStrings(frame.changing),
               out_.CreateVectorOfStructs(loads),
               out_.CreateVectorOfStructs(prefixes), sender.link_rate, &mix,
               out_.CreateVectorOfStructs(limits),
               out_.CreateVectorOfStructs(crashes),
               out_.CreateVectorOfStructs(completions), sender.version,
               frame.is_watched, out_.CreateVector(members),
               freshness.daemon_hash, freshness.age.count(),
               sender.recovery.event, sender.recovery.left.count(),
               sender.recovery.revision, out_.CreateVectorOfStructs(responses),
               sender.tracks_streams, out_.CreateVector(sender.lost_services),
               freshness.reply, frame.lacks_publications,
               publications.empty() ? 0 : out_.CreateVector(publications),
               frame.unconfirmed.empty()
                   ? 0
                   : out_.CreateVectorOfStrings(frame.unconfirmed),
               WriteIfAny(observations), WriteIfAny(pressures),
               WriteIfAny(rejection_limits), sender.shares_concurrency)
        .Union();
  }

  flatbuffers::Offset<void> operator()(const items_request_frame& frame) {
    type_ = fleet_wire::body_items_request;
    return fleet_wire::Createitems_request(
               out_, out_.CreateString(frame.reply_to.ToString()), frame.after)
        .Union();
  }

  flatbuffers::Offset<void> operator()(const items_reply_frame& frame) {
    type_ = fleet_wire::body_items_reply;
    const builder list = WriteItems(frame.items);
    const std::span<const uint8_t> bytes(list.GetBufferPointer(),
                                         list.GetSize());
    return fleet_wire::Createitems_reply(out_, frame.revision,
                                         frame.is_complete,
                                         out_.CreateVector(PackBytes(bytes)),
                                         static_cast<uint32_t>(bytes.size()))
        .Union();
  }

  flatbuffers::Offset<void> operator()(const quota_query& query) {
    type_ = fleet_wire::body_quota_ask;
    fleet_wire::quota_level last_level;
    if (query.last_level) {
      last_level = {query.last_level->owner, query.last_level->level,
                    query.last_level->age.count()};
    }
    return fleet_wire::Createquota_ask(
               out_, out_.CreateString(query.from.ToString()), query.ticket,
               query.subject, query.limit.rate, query.limit.burst,
               query.limit.version, query.weight, query.digest,
               query.max_wait.count(), query.last_level ? &last_level : nullptr,
               query.is_final, query.kind == quota_kind::kUpstream,
               query.limit_age.count())
        .Union();
  }

  flatbuffers::Offset<void> operator()(const quota_reply& reply) {
    type_ = fleet_wire::body_quota_verdict;
    const fleet_wire::quota_verdict_body body(
        reply.ticket, reply.retry_after.count(), reply.owner, reply.level,
        reply.share, reply.is_admitted);
    return fleet_wire::Createquota_verdict(out_, &body,
                                           reply.kind == quota_kind::kUpstream)
        .Union();
  }

  flatbuffers::Offset<void> operator()(const origin_report& report) {
    type_ = fleet_wire::body_origin_report;
    return fleet_wire::Createorigin_report(
               out_, out_.CreateVectorOfStructs(WriteOrigins(report.origins)))
        .Union();
  }

  flatbuffers::Offset<void> operator()(const origin_record_frame& frame) {
    type_ = fleet_wire::body_origin_record;
    return fleet_wire::Createorigin_record(
               out_, out_.CreateVectorOfStructs(WriteOrigins(frame.origins)))
        .Union();
  }

  flatbuffers::Offset<void> operator()(const limit_record_frame& frame) {
    type_ = fleet_wire::body_limit_record;
    const std::vector<fleet_wire::limit> limits = WriteLimits(frame.limits);
    const std::vector<fleet_wire::limit> rejection_limits =
        WriteLimits(frame.rejection_limits);
    return fleet_wire::Createlimit_record(
               out_, out_.CreateVectorOfStructs(limits),
               out_.CreateVectorOfStructs(rejection_limits))
        .Union();
  }

  flatbuffers::Offset<void> operator()(const concurrency_report& report) {
    type_ = fleet_wire::body_concurrency_report;
    const concurrency_demand& demand = report.demand;
    return fleet_wire::Createconcurrency_report(
               out_, out_.CreateString(report.from.ToString()),
               report.requester, report.owner, report.granted,
               report.wants_reply, demand.upstream, demand.slots,
               demand.rejection_limit, demand.held, demand.wanted,
               demand.oldest_wait.count(), demand.rejected)
        .Union();
  }

  flatbuffers::Offset<void> operator()(const concurrency_grant& grant) {
    type_ = fleet_wire::body_concurrency_grant;
    return fleet_wire::Createconcurrency_grant(
               out_, out_.CreateString(grant.from.ToString()), grant.owner,
               grant.upstream, grant.granted, grant.wait.count())
        .Union();
  }

  flatbuffers::Offset<void> operator()(const origin_query& query) {
    type_ = fleet_wire::body_origin_query;
    return fleet_wire::Createorigin_query(
               out_, out_.CreateString(query.from.ToString()), query.ticket,
               query.stream)
        .Union();
  }

  flatbuffers::Offset<void> operator()(const origin_reply& reply) {
    type_ = fleet_wire::body_origin_reply;
    const fleet_wire::stream_origin origin =
        WriteOrigin(reply.origin.value_or(stream_origin()));
    return fleet_wire::Createorigin_reply(out_, reply.ticket,
                                          reply.origin ? &origin : nullptr)
        .Union();
  }

 private:
  /// Writes nothing for an empty list, so that heartbeats of deployments
  /// without such entries do not grow.
  template <class Item>
  flatbuffers::Offset<flatbuffers::Vector<const Item*>> WriteIfAny(
      const std::vector<Item>& items) {
    return items.empty() ? 0 : out_.CreateVectorOfStructs(items);
  }

  static std::vector<fleet_wire::stream_origin> WriteOrigins(
      std::span<const stream_origin> origins) {
    std::vector<fleet_wire::stream_origin> list;
    for (const stream_origin& item : origins) {
      list.push_back(WriteOrigin(item));
    }
    return list;
  }

  static fleet_wire::stream_origin WriteOrigin(const stream_origin& item) {
    const auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(item.time_left);
    return {item.stream, item.software, item.number,
            static_cast<uint32_t>(millis.count())};
  }

  flatbuffers::Offset<fleet_wire::member> WriteMember(
      const member_update& update) {
    const daemon_record& record = update.record;
    const auto name = out_.CreateString(record.name);
    if (update.is_suspected) {
      return fleet_wire::Createmember(out_, name, record.incarnation,
                                      record.version, true);
    }
    return fleet_wire::Createmember(
        out_, name, record.incarnation, record.version, false,
        out_.CreateString(record.peer_address.ToString()),
        out_.CreateString(record.caller_address.ToString()),
        out_.CreateString(record.failure_domain), record.link_rate,
        record.is_ready, record.is_leaving, record.tracks_streams,
        out_.CreateVector(record.lost_services), record.shares_concurrency);
  }

  builder& out_;
  fleet_wire::body type_ = fleet_wire::body_NONE;
};

}  // namespace

std::string EncodePeerFrame(const peer_frame& frame) {
  builder out;
  body_writer writer(out);
  const auto body = std::visit(writer, frame);
  out.Finish(fleet_wire::Createframe(out, writer.type(), body));
  return {reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize()};
}

}  // namespace cuminswitch
