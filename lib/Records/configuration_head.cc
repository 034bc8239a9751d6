#include "cuminswitch/Records/configuration_head.h"

#include "cuminswitch/Records/record_error.h"
#include "records_generated.h"

namespace cuminswitch {

std::string EncodeConfigurationHead(const configuration_head& head) {
  flatbuffers::FlatBufferBuilder builder;
  const auto submission = builder.CreateString(head.submission);
  const auto hashes = builder.CreateVectorOfStrings(head.chunk_hashes);
  builder.Finish(records::CreateConfigurationHead(builder, head.generation,
                                                  submission, hashes));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

configuration_head DecodeConfigurationHead(std::string_view bytes) {
  const auto* data = reinterpret_cast<const uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(data, bytes.size());
  if (!verifier.VerifyBuffer<records::ConfigurationHead>()) {
    throw record_error("configuration head: malformed bytes");
  }
  const auto* wire = flatbuffers::GetRoot<records::ConfigurationHead>(data);
  configuration_head head{
      .generation = wire->generation(), .submission = {}, .chunk_hashes = {}};
  if (wire->submission() != nullptr) {
    head.submission = wire->submission()->str();
  }
  if (wire->chunk_hashes() != nullptr) {
    for (const flatbuffers::String* hash : *wire->chunk_hashes()) {
      head.chunk_hashes.push_back(hash->str());
    }
  }
  return head;
}

std::string ConfigurationChunkKey(std::string_view hash) {
  return "cuminswitch/configuration/chunk/" + std::string(hash);
}

}  // namespace cuminswitch
