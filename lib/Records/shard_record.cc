#include "cuminswitch/Records/shard_record.h"

#include "cuminswitch/Records/record_error.h"
#include "records_generated.h"

namespace cuminswitch {

static records::Hash128 ToWire(const hash128& value) {
  return {value.high, value.low};
}

static hash128 FromWire(const records::Hash128& value) {
  return {.high = value.high(), .low = value.low()};
}

std::string EncodeShardRecord(const shard_record& record) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<records::ShardEntry> entries;
  entries.reserve(record.entries.size());
  for (const shard_entry& entry : record.entries) {
    entries.emplace_back(ToWire(entry.key), entry.issued,
                         ToWire(entry.request_digest));
  }
  const auto owner = builder.CreateString(record.owner_host);
  const auto entries_offset = builder.CreateVectorOfStructs(entries);
  builder.Finish(records::CreateShardRecord(builder, record.epoch, owner,
                                            record.owner_incarnation,
                                            record.floor, entries_offset));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

shard_record DecodeShardRecord(std::string_view bytes) {
  const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!verifier.VerifyBuffer<records::ShardRecord>()) {
    throw record_error("shard record: malformed bytes");
  }
  const auto* wire = flatbuffers::GetRoot<records::ShardRecord>(data);
  shard_record record{.epoch = wire->epoch(),
                      .owner_host = {},
                      .owner_incarnation = wire->owner_incarnation(),
                      .floor = wire->floor(),
                      .entries = {}};
  if (wire->owner_host() != nullptr) {
    record.owner_host = wire->owner_host()->str();
  }
  if (wire->entries() != nullptr) {
    record.entries.reserve(wire->entries()->size());
    for (const records::ShardEntry* entry : *wire->entries()) {
      record.entries.push_back(
          {.key = FromWire(entry->key()),
           .issued = entry->issued(),
           .request_digest = FromWire(entry->request_digest())});
    }
  }
  return record;
}

std::string ShardKey(shard_number shard) {
  return "cuminswitch/shard/" + std::to_string(shard);
}

}  // namespace cuminswitch
