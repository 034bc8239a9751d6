#include "cuminswitch/Control/configuration_store.h"

#include <span>
#include <utility>

#include "cuminswitch/Config/document.h"
#include "cuminswitch/Platform/blocking_platform.h"
#include "cuminswitch/Records/record_error.h"
#include "cuminswitch/Support/digest.h"

namespace cuminswitch {

static constexpr int kMaxAttempts = 4;

static std::string GenerationKey(generation_number generation) {
  return "cuminswitch/configuration/generation/" + std::to_string(generation);
}

configuration_store::current_head configuration_store::ReadHead() {
  const platform_reply reply =
      platform_.Read(std::string(kConfigurationHeadKey));
  if (reply.status == platform_status::kAbsent) {
    return {};
  }
  if (reply.status != platform_status::kOk) {
    throw store_error("the platform does not answer");
  }
  try {
    return {.head = DecodeConfigurationHead(reply.value),
            .revision = reply.revision,
            .bytes = reply.value};
  } catch (const record_error& error) {
    throw store_error(error.what());
  }
}

configuration configuration_store::ReadChunks(const configuration_head& head) {
  std::vector<configuration> fragments;
  for (const std::string& hash : head.chunk_hashes) {
    const platform_reply reply = platform_.Read(ConfigurationChunkKey(hash));
    if (reply.status != platform_status::kOk) {
      throw store_error("cannot read chunk " + hash + " of generation " +
                        std::to_string(head.generation));
    }
    fragments.push_back(ParseFragment(reply.value, "chunk " + hash));
  }
  std::vector<const configuration*> pointers;
  pointers.reserve(fragments.size());
  for (const configuration& fragment : fragments) {
    pointers.push_back(&fragment);
  }
  return MergeFragments(pointers);
}

stored_configuration configuration_store::Fetch() {
  const current_head current = ReadHead();
  return {.generation = current.head.generation,
          .config = ReadChunks(current.head)};
}

stored_configuration configuration_store::FetchGeneration(
    generation_number generation) {
  const current_head current = ReadHead();
  if (generation == current.head.generation) {
    return {.generation = generation, .config = ReadChunks(current.head)};
  }
  if (generation == 0) {
    return {};
  }
  const platform_reply reply = platform_.Read(GenerationKey(generation));
  if (reply.status != platform_status::kOk) {
    throw store_error("generation " + std::to_string(generation) +
                      " is not stored");
  }
  return {.generation = generation,
          .config = ReadChunks(DecodeConfigurationHead(reply.value))};
}

void configuration_store::WriteOnce(const std::string& key,
                                    const std::string& value) {
  // The key determines the value, so a lost reply is harmless: the write is
  // retried, and a conflict means that the value is already stored.
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const platform_reply reply = platform_.CompareAndSwap(key, value, 0);
    if (reply.status != platform_status::kNoReply) {
      return;
    }
  }
  throw store_error("the platform does not answer; nothing was accepted");
}

submission_result configuration_store::MakeConflict(
    const configuration& config,
    generation_number base,
    const current_head& current) {
  const stored_configuration old = FetchGeneration(base);
  return {
      .status = submission_status::kConflict,
      .generation = current.head.generation,
      .conflicts = FindConflicts(old.config, config, ReadChunks(current.head))};
}

std::optional<generation_number> configuration_store::FindSubmission(
    const current_head& current,
    generation_number first,
    const std::string& submission) {
  if (current.head.submission == submission) {
    return current.head.generation;
  }
  for (generation_number generation = first;
       generation < current.head.generation; ++generation) {
    const platform_reply reply = platform_.Read(GenerationKey(generation));
    if (reply.status == platform_status::kOk &&
        DecodeConfigurationHead(reply.value).submission == submission) {
      return generation;
    }
  }
  return std::nullopt;
}

submission_result configuration_store::Submit(const configuration& config,
                                              generation_number base,
                                              const std::string& submission) {
  current_head current = ReadHead();
  if (const auto accepted = FindSubmission(current, base + 1, submission)) {
    return {.status = submission_status::kAccepted, .generation = *accepted};
  }
  if (current.head.generation != base) {
    return MakeConflict(config, base, current);
  }
  configuration_head next{
      .generation = base + 1, .submission = submission, .chunk_hashes = {}};
  for (const std::string& chunk : WriteChunks(config)) {
    next.chunk_hashes.push_back(Sha256Hex(chunk));
    WriteOnce(ConfigurationChunkKey(next.chunk_hashes.back()), chunk);
  }
  if (base != 0) {
    // Stored so that a stale submission can be compared with its base.
    WriteOnce(GenerationKey(base), current.bytes);
  }
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const platform_reply reply = platform_.CompareAndSwap(
        std::string(kConfigurationHeadKey), EncodeConfigurationHead(next),
        current.revision);
    if (reply.status == platform_status::kOk) {
      return {.status = submission_status::kAccepted,
              .generation = next.generation};
    }
    if (reply.status == platform_status::kNoReply) {
      // The write may have taken effect. Retrying it resolves this: either it
      // is accepted now, or the conflict shows whose submission is in force.
      continue;
    }
    current = ReadHead();
    if (const auto accepted =
            FindSubmission(current, next.generation, submission)) {
      return {.status = submission_status::kAccepted, .generation = *accepted};
    }
    return MakeConflict(config, base, current);
  }
  return {.status = submission_status::kUnknown, .generation = next.generation};
}

}  // namespace cuminswitch
