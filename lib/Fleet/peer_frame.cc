#include "cuminswitch/Fleet/peer_frame.h"

#include <flatbuffers/flatbuffers.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <initializer_list>
#include <utility>

#include "cuminswitch/Fleet/packed_bytes.h"
#include "fleet_generated.h"

namespace cuminswitch {

/// Maximum number of member updates in a valid heartbeat; daemons send fewer.
static constexpr size_t kMaxMembers = 64;
/// Likewise for the entries of other lists.
static constexpr size_t kMaxObservations = 1024;
static constexpr size_t kMaxPressures = 64;
/// Largest count in a valid report about an upstream's concurrency.
static constexpr uint32_t kMaxConcurrency = 1'000'000;

static std::vector<std::string> ReadTexts(
    const flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>* list) {
  std::vector<std::string> texts;
  if (list != nullptr) {
    for (const flatbuffers::String* item : *list) {
      texts.push_back(item->str());
    }
  }
  return texts;
}

static std::vector<uint64_t> ReadNumbers(
    const flatbuffers::Vector<uint64_t>* list) {
  return list == nullptr ? std::vector<uint64_t>()
                         : std::vector<uint64_t>(list->begin(), list->end());
}

/// Whether no value is infinite or NaN.
static bool AreFinite(std::initializer_list<double> values) {
  return std::all_of(values.begin(), values.end(),
                     [](double value) { return std::isfinite(value); });
}

/// Whether \p age_us is neither negative nor more than an hour. A greater age
/// may give a time before the epoch of the clock, which would pass for one far
/// in the future.
static bool IsPlausibleAge(int64_t age_us) {
  static constexpr int64_t kMaxAgeUs = 3'600'000'000;
  return age_us >= 0 && age_us <= kMaxAgeUs;
}

/// Reads the reports about requests that may crash upstreams; returns false
/// where one is invalid.
static bool ReadQuarantineUpdate(const fleet_wire::beat& wire,
                                 quarantine_update& update) {
  if (wire.crashes() != nullptr) {
    for (const fleet_wire::crash* item : *wire.crashes()) {
      if (!IsPlausibleAge(item->age_us()) || !IsPlausibleAge(item->took_us())) {
        return false;
      }
      update.crashes.push_back({.request = {.high = item->request_high(),
                                            .low = item->request_low()},
                                .upstream = item->upstream(),
                                .age = duration(item->age_us()),
                                .took = duration(item->took_us())});
    }
  }
  if (wire.completions() != nullptr) {
    for (const fleet_wire::completion* item : *wire.completions()) {
      if (!IsPlausibleAge(item->age_us())) {
        return false;
      }
      update.completions.push_back({.request = {.high = item->request_high(),
                                                .low = item->request_low()},
                                    .age = duration(item->age_us())});
    }
  }
  if (wire.responses() != nullptr) {
    for (const fleet_wire::upstream_response* item : *wire.responses()) {
      if (!IsPlausibleAge(item->age_us())) {
        return false;
      }
      update.responses.push_back(
          {.upstream = item->upstream(), .age = duration(item->age_us())});
    }
  }
  return true;
}

/// Returns `std::nullopt` for an incomplete or invalid record.
static std::optional<member_update> ReadMember(const fleet_wire::member& wire) {
  member_update update{.record = {.name = wire.daemon()->str(),
                                  .incarnation = wire.incarnation(),
                                  .version = wire.version()},
                       .is_suspected = wire.is_suspected()};
  if (update.is_suspected) {
    return update;
  }
  if (wire.peer_address() == nullptr || wire.caller_address() == nullptr ||
      wire.failure_domain() == nullptr) {
    return std::nullopt;
  }
  const auto peer_address = ParseEndpoint(wire.peer_address()->string_view());
  const auto caller_address =
      ParseEndpoint(wire.caller_address()->string_view());
  if (!peer_address || !caller_address) {
    return std::nullopt;
  }
  daemon_record& record = update.record;
  record.peer_address = *peer_address;
  record.caller_address = *caller_address;
  record.failure_domain = wire.failure_domain()->str();
  record.link_rate = wire.link_rate();
  record.is_ready = wire.is_ready();
  record.is_leaving = wire.is_leaving();
  record.tracks_streams = wire.tracks_streams();
  record.shares_concurrency = wire.shares_concurrency();
  record.lost_services = ReadNumbers(wire.lost_services());
  return update;
}

/// Reads the member updates; returns false where there are too many or one is
/// invalid.
static bool ReadMembers(const fleet_wire::beat& wire, heartbeat_frame& frame) {
  if (wire.members() == nullptr) {
    return true;
  }
  if (wire.members()->size() > kMaxMembers) {
    return false;
  }
  for (const fleet_wire::member* item : *wire.members()) {
    std::optional<member_update> update = ReadMember(*item);
    if (!update) {
      return false;
    }
    frame.members.push_back(std::move(*update));
  }
  return true;
}

/// Reads the observations of upstreams; returns false where one is invalid.
static bool ReadObservations(const fleet_wire::beat& wire,
                             heartbeat_frame& frame) {
  if (wire.observations() == nullptr) {
    return true;
  }
  if (wire.observations()->size() > kMaxObservations) {
    return false;
  }
  for (const fleet_wire::observation* item : *wire.observations()) {
    if (item->refusal() > static_cast<uint8_t>(kLastUpstreamRefusal)) {
      return false;
    }
    frame.observations.push_back(
        {.upstream = item->upstream(),
         .incarnation = item->incarnation(),
         .age = std::chrono::milliseconds(item->age_ms()),
         .running = item->running(),
         .waiting = item->waiting(),
         .slots = item->slots(),
         .work_percent = item->work_percent(),
         .refusal = static_cast<upstream_refusal>(item->refusal())});
  }
  return true;
}

/// Whether \p value is a priority class and the quantities are finite and not
/// negative.
static bool IsValidReport(uint8_t value,
                          std::initializer_list<double> quantities) {
  return value <= static_cast<uint8_t>(priority_class::kBatch) &&
         AreFinite(quantities) &&
         std::all_of(quantities.begin(), quantities.end(),
                     [](double quantity) { return quantity >= 0; });
}

/// Reads the report about admissions; returns false where it is too long or an
/// entry is invalid.
static bool ReadAdmissions(const fleet_wire::beat& wire,
                           heartbeat_frame& frame) {
  admission_report& report = frame.admissions;
  if (wire.pressures() != nullptr) {
    if (wire.pressures()->size() > kMaxPressures) {
      return false;
    }
    for (const fleet_wire::pressure* item : *wire.pressures()) {
      if (!IsValidReport(item->priority(),
                         {item->wait_ratio(), item->weight()})) {
        return false;
      }
      report.pressures.push_back(
          {.target = item->target(),
           .priority = static_cast<priority_class>(item->priority()),
           .wait_ratio = item->wait_ratio(),
           .weight = item->weight()});
    }
  }
  return true;
}

static bool ReadPublications(const fleet_wire::beat& wire,
                             heartbeat_frame& frame) {
  if (wire.publications() == nullptr) {
    return true;
  }
  for (const fleet_wire::publication* item : *wire.publications()) {
    if (!IsPlausibleAge(item->age_us())) {
      return false;
    }
    frame.publications.push_back({.target = item->target()->str(),
                                  .version = item->version()->str(),
                                  .superseded = item->superseded()->str(),
                                  .age = duration(item->age_us())});
  }
  return true;
}

/// Reads advertised limits; returns false where one is invalid.
static bool ReadLimits(
    const flatbuffers::Vector<const fleet_wire::limit*>* wire,
    std::vector<limit_update>& limits) {
  if (wire == nullptr) {
    return true;
  }
  for (const fleet_wire::limit* item : *wire) {
    if (!AreFinite({item->rate()}) || item->rate() < 0 ||
        !IsPlausibleAge(item->age_us())) {
      return false;
    }
    limits.push_back({.upstream = item->upstream(),
                      .rate = item->rate(),
                      .has_ended = item->has_ended(),
                      .age = duration(item->age_us())});
  }
  return true;
}

static std::optional<peer_frame> ReadHeartbeat(const fleet_wire::beat& wire) {
  const auto peer_address = ParseEndpoint(wire.peer_address()->string_view());
  const auto caller_address =
      ParseEndpoint(wire.caller_address()->string_view());
  if (!peer_address || !caller_address) {
    return std::nullopt;
  }
  heartbeat_frame frame{
      .sender = {.name = wire.daemon()->str(),
                 .incarnation = wire.incarnation(),
                 .version = wire.version(),
                 .peer_address = *peer_address,
                 .caller_address = *caller_address,
                 .failure_domain = wire.failure_domain()->str(),
                 .link_rate = wire.link_rate(),
                 .is_ready = wire.is_ready(),
                 .lost_services = ReadNumbers(wire.lost_services()),
                 .is_leaving = wire.is_leaving(),
                 .has_store = wire.has_store(),
                 .tracks_streams = wire.tracks_streams(),
                 .shares_concurrency = wire.shares_concurrency(),
                 .recovery = {.event = wire.awaited_return(),
                              .left = duration(wire.awaited_for_us()),
                              .revision = wire.awaited_up_to()},
                 .revision = wire.revision()},
      .recent_peers = {},
      .changing = ReadTexts(wire.changing()),
      .unconfirmed = ReadTexts(wire.unconfirmed()),
      .backlogs = {},
      .prefixes = {}};
  if (wire.loads() != nullptr) {
    for (const fleet_wire::load* item : *wire.loads()) {
      frame.backlogs.push_back(
          {.upstream = item->upstream(), .tokens = item->tokens()});
    }
  }
  if (wire.prefixes() != nullptr) {
    for (const fleet_wire::prefix* item : *wire.prefixes()) {
      frame.prefixes.push_back({.prefix = item->hash(),
                                .upstream = item->upstream(),
                                .incarnation = item->incarnation(),
                                .saved_weights = item->saved_weights()});
    }
  }
  if (const fleet_wire::prompt_mix* mix = wire.mix()) {
    if (!AreFinite({mix->requests(), mix->prompt_tokens(), mix->short_read(),
                    mix->long_read(), mix->short_held(), mix->seconds()})) {
      return std::nullopt;
    }
    frame.mix = {.requests = mix->requests(),
                 .prompt_tokens = mix->prompt_tokens(),
                 .short_prefill = mix->short_read(),
                 .long_prefill = mix->long_read(),
                 .short_held = mix->short_held(),
                 .seconds = mix->seconds(),
                 .reserves_engines = mix->keeps_engines()};
  }
  if (!ReadObservations(wire, frame) || !ReadAdmissions(wire, frame)) {
    return std::nullopt;
  }
  if (!ReadLimits(wire.limits(), frame.limits) ||
      !ReadLimits(wire.rejection_limits(), frame.rejection_limits)) {
    return std::nullopt;
  }
  frame.is_watched = wire.is_watched();
  if (!IsPlausibleAge(wire.awaited_for_us())) {
    return std::nullopt;
  }
  if (wire.store_witness() != 0) {
    if (!IsPlausibleAge(wire.store_answer_age_us())) {
      return std::nullopt;
    }
    frame.freshness = {.daemon_hash = wire.store_witness(),
                       .reply = wire.store_answer(),
                       .age = duration(wire.store_answer_age_us())};
  }
  if (!ReadQuarantineUpdate(wire, frame.quarantine) ||
      !ReadMembers(wire, frame) || !ReadPublications(wire, frame)) {
    return std::nullopt;
  }
  frame.lacks_publications = wire.lacks_publications();
  for (const std::string& text : ReadTexts(wire.heard())) {
    if (const auto address = ParseEndpoint(text)) {
      frame.recent_peers.push_back(*address);
    }
  }
  return frame;
}

static std::optional<peer_frame> ReadRequest(
    const fleet_wire::items_request& wire) {
  const auto reply_to = ParseEndpoint(wire.reply_to()->string_view());
  if (!reply_to) {
    return std::nullopt;
  }
  return items_request_frame{.reply_to = *reply_to, .after = wire.after()};
}

static item_change ReadItem(const fleet_wire::item& item) {
  item_change change{.key = item.key()->str(),
                     .value = std::nullopt,
                     .revision = item.revision()};
  if (!item.is_gone()) {
    change.value.emplace();
    if (item.value() != nullptr) {
      change.value->assign(item.value()->begin(), item.value()->end());
    }
  }
  return change;
}

static std::optional<peer_frame> ReadReply(
    const fleet_wire::items_reply& wire) {
  items_reply_frame frame{.revision = wire.revision(),
                          .is_complete = wire.is_complete(),
                          .items = {}};
  if (wire.packed_list() == nullptr) {
    return std::nullopt;
  }
  const auto bytes =
      UnpackBytes({wire.packed_list()->data(), wire.packed_list()->size()},
                  wire.list_size());
  if (!bytes) {
    return std::nullopt;
  }
  flatbuffers::Verifier verifier(bytes->data(), bytes->size());
  if (!verifier.VerifyBuffer<fleet_wire::item_list>()) {
    return std::nullopt;
  }
  const auto* list = flatbuffers::GetRoot<fleet_wire::item_list>(bytes->data());
  if (list->items() != nullptr) {
    for (const fleet_wire::item* item : *list->items()) {
      frame.items.push_back(ReadItem(*item));
    }
  }
  return frame;
}

static std::optional<peer_frame> ReadQuotaQuery(
    const fleet_wire::quota_ask& wire) {
  const auto from = ParseEndpoint(wire.from()->string_view());
  const bool is_valid = AreFinite({wire.rate(), wire.burst(), wire.weight()}) &&
                        wire.rate() > 0 && wire.burst() >= 0 &&
                        IsPlausibleAge(wire.limit_age_us());
  if (!from || !is_valid) {
    return std::nullopt;
  }
  quota_query query{.from = *from,
                    .ticket = wire.ticket(),
                    .kind = wire.is_upstream() ? quota_kind::kUpstream
                                               : quota_kind::kWorkspace,
                    .subject = wire.subject(),
                    .limit = {.rate = wire.rate(),
                              .burst = wire.burst(),
                              .version = wire.version()},
                    .limit_age = duration(wire.limit_age_us()),
                    .weight = wire.weight(),
                    .digest = wire.digest(),
                    .max_wait = duration(wire.patience_us()),
                    .is_final = wire.is_final(),
                    .last_level = std::nullopt};
  if (const fleet_wire::quota_level* level = wire.told()) {
    if (!AreFinite({level->level()}) || level->age_us() < 0) {
      return std::nullopt;
    }
    query.last_level = quota_level{.owner = level->owner(),
                                   .level = level->level(),
                                   .age = duration(level->age_us())};
  }
  return query;
}

static std::optional<peer_frame> ReadQuotaReply(
    const fleet_wire::quota_verdict& wire) {
  const fleet_wire::quota_verdict_body& body = *wire.body();
  if (!AreFinite({body.level(), body.share()}) || body.retry_after_us() < 0) {
    return std::nullopt;
  }
  return quota_reply{.kind = wire.is_upstream() ? quota_kind::kUpstream
                                                : quota_kind::kWorkspace,
                     .ticket = body.ticket(),
                     .is_admitted = body.is_admitted(),
                     .retry_after = duration(body.retry_after_us()),
                     .owner = body.owner(),
                     .level = body.level(),
                     .share = body.share()};
}

/// Returns `std::nullopt` if the version is unknown or the time out of range.
static std::optional<stream_origin> ReadOrigin(
    const fleet_wire::stream_origin& wire) {
  const duration time_left = std::chrono::milliseconds(wire.time_left_ms());
  if (wire.software() == kAnySoftware || time_left > kMaxStreamTime) {
    return std::nullopt;
  }
  return stream_origin{.stream = wire.stream(),
                       .software = wire.software(),
                       .number = wire.number(),
                       .time_left = time_left};
}

/// Reads origins; nothing where one is invalid.
static std::optional<std::vector<stream_origin>> ReadOrigins(
    const flatbuffers::Vector<const fleet_wire::stream_origin*>* wire) {
  std::vector<stream_origin> origins;
  if (wire == nullptr) {
    return origins;
  }
  for (const fleet_wire::stream_origin* item : *wire) {
    const std::optional<stream_origin> origin = ReadOrigin(*item);
    if (!origin) {
      return std::nullopt;
    }
    origins.push_back(*origin);
  }
  return origins;
}

static std::optional<peer_frame> ReadOriginReport(
    const fleet_wire::origin_report& wire) {
  auto origins = ReadOrigins(wire.origins());
  if (!origins) {
    return std::nullopt;
  }
  return origin_report{.origins = std::move(*origins)};
}

static std::optional<peer_frame> ReadOriginRecord(
    const fleet_wire::origin_record& wire) {
  auto origins = ReadOrigins(wire.origins());
  if (!origins) {
    return std::nullopt;
  }
  return origin_record_frame{.origins = std::move(*origins)};
}

static std::optional<peer_frame> ReadConcurrencyReport(
    const fleet_wire::concurrency_report& wire) {
  const auto from = ParseEndpoint(wire.from()->string_view());
  if (!from || !IsPlausibleAge(wire.oldest_wait_us()) ||
      std::max({wire.slots(), wire.rejection_limit(), wire.held(),
                wire.wanted()}) > kMaxConcurrency) {
    return std::nullopt;
  }
  return concurrency_report{
      .from = *from,
      .requester = wire.requester(),
      .owner = wire.owner(),
      .granted = wire.granted(),
      .wants_reply = wire.wants_reply(),
      .demand = {.upstream = wire.upstream(),
                 .slots = wire.slots(),
                 .rejection_limit = wire.rejection_limit(),
                 .held = wire.held(),
                 .wanted = wire.wanted(),
                 .oldest_wait = duration(wire.oldest_wait_us()),
                 .rejected = wire.rejected()}};
}

static std::optional<peer_frame> ReadConcurrencyGrant(
    const fleet_wire::concurrency_grant& wire) {
  const auto from = ParseEndpoint(wire.from()->string_view());
  if (!from || !IsPlausibleAge(wire.wait_us())) {
    return std::nullopt;
  }
  return concurrency_grant{.from = *from,
                           .owner = wire.owner(),
                           .upstream = wire.upstream(),
                           .granted = wire.granted(),
                           .wait = duration(wire.wait_us())};
}

static std::optional<peer_frame> ReadOriginQuery(
    const fleet_wire::origin_query& wire) {
  const auto from = ParseEndpoint(wire.from()->string_view());
  if (!from) {
    return std::nullopt;
  }
  return origin_query{
      .from = *from, .ticket = wire.ticket(), .stream = wire.stream()};
}

static std::optional<peer_frame> ReadOriginReply(
    const fleet_wire::origin_reply& wire) {
  origin_reply reply{.ticket = wire.ticket(), .origin = std::nullopt};
  if (wire.origin() != nullptr) {
    reply.origin = ReadOrigin(*wire.origin());
    if (!reply.origin) {
      return std::nullopt;
    }
  }
  return reply;
}

std::optional<peer_frame> DecodePeerFrame(std::span<const uint8_t> bytes) {
  flatbuffers::Verifier verifier(bytes.data(), bytes.size());
  if (!verifier.VerifyBuffer<fleet_wire::frame>()) {
    return std::nullopt;
  }
  const auto* wire = flatbuffers::GetRoot<fleet_wire::frame>(bytes.data());
  if (const auto* heartbeat = wire->body_as_beat()) {
    return ReadHeartbeat(*heartbeat);
  }
  if (const auto* request = wire->body_as_items_request()) {
    return ReadRequest(*request);
  }
  if (const auto* reply = wire->body_as_items_reply()) {
    return ReadReply(*reply);
  }
  if (const auto* query = wire->body_as_quota_ask()) {
    return ReadQuotaQuery(*query);
  }
  if (const auto* decision = wire->body_as_quota_verdict()) {
    return ReadQuotaReply(*decision);
  }
  if (const auto* report = wire->body_as_origin_report()) {
    return ReadOriginReport(*report);
  }
  if (const auto* origin_asked = wire->body_as_origin_query()) {
    return ReadOriginQuery(*origin_asked);
  }
  if (const auto* origin_told = wire->body_as_origin_reply()) {
    return ReadOriginReply(*origin_told);
  }
  if (const auto* demand = wire->body_as_concurrency_report()) {
    return ReadConcurrencyReport(*demand);
  }
  if (const auto* grant = wire->body_as_concurrency_grant()) {
    return ReadConcurrencyGrant(*grant);
  }
  if (const auto* record = wire->body_as_origin_record()) {
    return ReadOriginRecord(*record);
  }
  if (const auto* limits = wire->body_as_limit_record()) {
    limit_record_frame frame;
    if (ReadLimits(limits->limits(), frame.limits) &&
        ReadLimits(limits->rejection_limits(), frame.rejection_limits)) {
      return frame;
    }
  }
  return std::nullopt;
}

}  // namespace cuminswitch
