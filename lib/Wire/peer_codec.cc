#include "cuminswitch/Wire/peer_codec.h"

#include <utility>

#include "cuminswitch/Support/digest.h"
#include "cuminswitch/Wire/frame_error.h"
#include "peer_generated.h"

namespace cuminswitch {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

/// A body's type and its offset in the frame under construction.
struct wire_body {
  wire::Body type = wire::Body_NONE;
  Offset<void> offset;
};

/// Maximum nesting depth that the verifier accepts; valid frames nest to 4.
constexpr size_t kMaxDepth = 16;
/// Maximum number of tables that the verifier accepts in a frame.
constexpr size_t kMaxTables = 1'000'000;

wire::Hash128 ToWire(const hash128& value) {
  return {value.high, value.low};
}

Offset<wire::Endpoint> ToWire(FlatBufferBuilder& builder,
                              const endpoint& value) {
  const auto address = builder.CreateString(value.address);
  return wire::CreateEndpoint(builder, address, value.port);
}

Offset<wire::Member> ToWire(FlatBufferBuilder& builder, const member& value) {
  const auto host = builder.CreateString(value.host);
  const auto peer = ToWire(builder, value.peer_address);
  const auto caller = ToWire(builder, value.caller_address);
  const auto domain = builder.CreateString(value.failure_domain);
  const auto shards = builder.CreateVector(value.shards);
  return wire::CreateMember(builder, host, peer, caller, domain,
                            value.incarnation, value.version,
                            static_cast<uint8_t>(value.status), shards);
}

Offset<wire::RecordedAnswer> ToWire(FlatBufferBuilder& builder,
                                    const recorded_response& value) {
  const auto type = builder.CreateString(value.content_type);
  const auto body = builder.CreateVector(
      reinterpret_cast<const uint8_t*>(value.body.data()), value.body.size());
  return wire::CreateRecordedAnswer(builder, value.status, type, body);
}

/// Visitor that encodes each type of message as the body of a frame.
struct body_encoder {
  FlatBufferBuilder& builder;

  wire_body operator()(const heartbeat& message) const {
    const auto sender = ToWire(builder, message.sender);
    std::vector<Offset<wire::Member>> updates;
    for (const member& update : message.updates) {
      updates.push_back(ToWire(builder, update));
    }
    std::vector<wire::WorkspaceUse> usage;
    for (const workspace_use& use : message.usage) {
      usage.emplace_back(use.workspace_hash, use.in_flight);
    }
    const auto updates_offset = builder.CreateVector(updates);
    const auto usage_offset = builder.CreateVectorOfStructs(usage);
    return {wire::Body_Heartbeat,
            wire::CreateHeartbeat(builder, message.sequence, message.is_reply,
                                  sender, updates_offset, message.generation,
                                  usage_offset)
                .Union()};
  }

  wire_body operator()(const probe_request& message) const {
    const auto reply_to = ToWire(builder, message.reply_to);
    const auto target = ToWire(builder, message.target);
    return {
        wire::Body_ProbeRequest,
        wire::CreateProbeRequest(builder, message.sequence, reply_to, target)
            .Union()};
  }

  wire_body operator()(const probe_reply& message) const {
    const auto target = ToWire(builder, message.target);
    return {wire::Body_ProbeReply,
            wire::CreateProbeReply(builder, message.sequence, target).Union()};
  }

  wire_body operator()(const configuration_request& message) const {
    const auto reply_to = ToWire(builder, message.reply_to);
    const auto held = builder.CreateVectorOfStrings(message.held_chunks);
    return {wire::Body_ConfigurationRequest,
            wire::CreateConfigurationRequest(builder, reply_to, held).Union()};
  }

  wire_body operator()(const configuration_reply& message) const {
    std::vector<Offset<wire::ConfigurationChunk>> chunks;
    for (const configuration_chunk& chunk : message.chunks) {
      const auto hash = builder.CreateString(chunk.hash);
      const auto text = builder.CreateString(chunk.text);
      chunks.push_back(wire::CreateConfigurationChunk(builder, hash, text));
    }
    const auto head = builder.CreateVector(
        reinterpret_cast<const uint8_t*>(message.head.data()),
        message.head.size());
    const auto chunks_offset = builder.CreateVector(chunks);
    return {
        wire::Body_ConfigurationReply,
        wire::CreateConfigurationReply(builder, head, chunks_offset).Union()};
  }

  wire_body operator()(const start_request& message) const {
    const auto reply_to = ToWire(builder, message.reply_to);
    const auto host = builder.CreateString(message.host);
    const wire::Hash128 key = ToWire(message.key);
    const wire::Hash128 digest = ToWire(message.request_digest);
    return {wire::Body_StartRequest,
            wire::CreateStartRequest(
                builder, reply_to, host, message.incarnation, message.request,
                message.shard, &key, message.key_issued, &digest)
                .Union()};
  }

  wire_body operator()(const start_reply& message) const {
    const auto response = ToWire(builder, message.response);
    return {wire::Body_StartReply,
            wire::CreateStartReply(
                builder, message.request, static_cast<uint8_t>(message.result),
                message.epoch, message.retry_after_seconds, response)
                .Union()};
  }

  wire_body operator()(const finish_report& message) const {
    const auto response = ToWire(builder, message.response);
    const wire::Hash128 key = ToWire(message.key);
    return {
        wire::Body_FinishReport,
        wire::CreateFinishReport(builder, message.shard, &key,
                                 static_cast<uint8_t>(message.result), response)
            .Union()};
  }

  wire_body operator()(const release_report& message) const {
    const auto host = builder.CreateString(message.host);
    const wire::Hash128 key = ToWire(message.key);
    return {wire::Body_ReleaseReport,
            wire::CreateReleaseReport(builder, message.shard, &key, host,
                                      message.incarnation, message.request)
                .Union()};
  }
};

std::string FromWire(const flatbuffers::String* value) {
  return value == nullptr ? std::string() : value->str();
}

std::string FromWire(const flatbuffers::Vector<uint8_t>* value) {
  if (value == nullptr) {
    return {};
  }
  return {reinterpret_cast<const char*>(value->data()), value->size()};
}

hash128 FromWire(const wire::Hash128* value) {
  if (value == nullptr) {
    return {};
  }
  return {.high = value->high(), .low = value->low()};
}

endpoint FromWire(const wire::Endpoint* value) {
  if (value == nullptr) {
    return {};
  }
  return {.address = FromWire(value->address()), .port = value->port()};
}

/// Converts \p value to an enumerator; throws `frame_error` if it exceeds
/// \p last.
template <class Enum>
Enum EnumFromWire(uint8_t value, Enum last) {
  if (value > static_cast<uint8_t>(last)) {
    throw frame_error("peer frame: enumerator out of range");
  }
  return static_cast<Enum>(value);
}

member FromWire(const wire::Member* value) {
  if (value == nullptr) {
    throw frame_error("peer frame: member is missing");
  }
  member result{.host = FromWire(value->host()),
                .peer_address = FromWire(value->peer_address()),
                .caller_address = FromWire(value->caller_address()),
                .failure_domain = FromWire(value->failure_domain()),
                .incarnation = value->incarnation(),
                .version = value->version(),
                .status = EnumFromWire(value->status(), member_status::kDead),
                .shards = {}};
  if (result.host.empty()) {
    throw frame_error("peer frame: member has no host");
  }
  if (value->shards() != nullptr) {
    result.shards.assign(value->shards()->begin(), value->shards()->end());
  }
  return result;
}

recorded_response FromWire(const wire::RecordedAnswer* value) {
  if (value == nullptr) {
    return {};
  }
  return {.status = value->status(),
          .content_type = FromWire(value->content_type()),
          .body = FromWire(value->body())};
}

heartbeat DecodeHeartbeat(const wire::Heartbeat& value) {
  heartbeat message{.sequence = value.sequence(),
                    .is_reply = value.is_reply(),
                    .sender = FromWire(value.sender()),
                    .updates = {},
                    .generation = value.generation(),
                    .usage = {}};
  if (value.updates() != nullptr) {
    for (const wire::Member* update : *value.updates()) {
      message.updates.push_back(FromWire(update));
    }
  }
  if (value.usage() != nullptr) {
    for (const wire::WorkspaceUse* use : *value.usage()) {
      message.usage.push_back({.workspace_hash = use->workspace_hash(),
                               .in_flight = use->in_flight()});
    }
  }
  return message;
}

configuration_request DecodeConfigurationRequest(
    const wire::ConfigurationRequest& value) {
  configuration_request message{.reply_to = FromWire(value.reply_to()),
                                .held_chunks = {}};
  if (value.held_chunks() != nullptr) {
    for (const flatbuffers::String* hash : *value.held_chunks()) {
      message.held_chunks.push_back(hash->str());
    }
  }
  return message;
}

configuration_reply DecodeConfigurationReply(
    const wire::ConfigurationReply& value) {
  configuration_reply message{.head = FromWire(value.head()), .chunks = {}};
  if (value.chunks() != nullptr) {
    for (const wire::ConfigurationChunk* chunk : *value.chunks()) {
      message.chunks.push_back(
          {.hash = FromWire(chunk->hash()), .text = FromWire(chunk->text())});
    }
  }
  return message;
}

start_request DecodeStartRequest(const wire::StartRequest& value) {
  return {.reply_to = FromWire(value.reply_to()),
          .host = FromWire(value.host()),
          .incarnation = value.incarnation(),
          .request = value.request(),
          .shard = value.shard(),
          .key = FromWire(value.key()),
          .key_issued = value.key_issued(),
          .request_digest = FromWire(value.request_digest())};
}

start_reply DecodeStartReply(const wire::StartReply& value) {
  return {.request = value.request(),
          .result = EnumFromWire(value.verdict(), start_result::kNotOwner),
          .epoch = value.epoch(),
          .retry_after_seconds = value.retry_after_seconds(),
          .response = FromWire(value.answer())};
}

finish_report DecodeFinishReport(const wire::FinishReport& value) {
  return {.shard = value.shard(),
          .key = FromWire(value.key()),
          .result = EnumFromWire(value.result(), outcome::kUnknown),
          .response = FromWire(value.answer())};
}

release_report DecodeReleaseReport(const wire::ReleaseReport& value) {
  return {.shard = value.shard(),
          .key = FromWire(value.key()),
          .host = FromWire(value.host()),
          .incarnation = value.incarnation(),
          .request = value.request()};
}

peer_message DecodeBody(const wire::PeerFrame& frame) {
  switch (frame.body_type()) {
    case wire::Body_Heartbeat:
      return DecodeHeartbeat(*frame.body_as_Heartbeat());
    case wire::Body_ProbeRequest: {
      const wire::ProbeRequest& value = *frame.body_as_ProbeRequest();
      return probe_request{.sequence = value.sequence(),
                           .reply_to = FromWire(value.reply_to()),
                           .target = FromWire(value.target())};
    }
    case wire::Body_ProbeReply: {
      const wire::ProbeReply& value = *frame.body_as_ProbeReply();
      return probe_reply{.sequence = value.sequence(),
                         .target = FromWire(value.target())};
    }
    case wire::Body_ConfigurationRequest:
      return DecodeConfigurationRequest(*frame.body_as_ConfigurationRequest());
    case wire::Body_ConfigurationReply:
      return DecodeConfigurationReply(*frame.body_as_ConfigurationReply());
    case wire::Body_StartRequest:
      return DecodeStartRequest(*frame.body_as_StartRequest());
    case wire::Body_StartReply:
      return DecodeStartReply(*frame.body_as_StartReply());
    case wire::Body_FinishReport:
      return DecodeFinishReport(*frame.body_as_FinishReport());
    case wire::Body_ReleaseReport:
      return DecodeReleaseReport(*frame.body_as_ReleaseReport());
    case wire::Body_NONE:
      break;
  }
  throw frame_error("peer frame: unknown body");
}

}  // namespace

std::string EncodePeerMessage(const peer_message& message,
                              std::string_view credential) {
  FlatBufferBuilder builder;
  const auto credential_offset =
      builder.CreateString(credential.data(), credential.size());
  const wire_body body = std::visit(body_encoder{builder}, message);
  builder.Finish(wire::CreatePeerFrame(builder, credential_offset, body.type,
                                       body.offset));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

peer_message DecodePeerMessage(std::span<const uint8_t> frame,
                               std::string_view credential) {
  flatbuffers::Verifier verifier(frame.data(), frame.size(), kMaxDepth,
                                 kMaxTables);
  if (!wire::VerifyPeerFrameBuffer(verifier)) {
    throw frame_error("peer frame: malformed bytes");
  }
  const wire::PeerFrame& wire_frame = *wire::GetPeerFrame(frame.data());
  if (!EqualInConstantTime(FromWire(wire_frame.credential()), credential)) {
    throw frame_error("peer frame: wrong credential");
  }
  if (wire_frame.body() == nullptr) {
    throw frame_error("peer frame: body is missing");
  }
  return DecodeBody(wire_frame);
}

}  // namespace cuminswitch
