#include "Scenario/fake_platform.h"

namespace cuminswitch {

revision_number fake_platform::RevisionOf(const std::string& key) const {
  const auto found = values_.find(key);
  return found == values_.end() ? 0 : found->second.revision;
}

platform_reply fake_platform::Apply(const platform_call& call) {
  ++calls_;
  platform_reply reply{.tag = call.tag};
  if (call.operation == platform_operation::kListHosts) {
    reply.status = platform_status::kOk;
    reply.hosts = hosts_;
    return reply;
  }
  const revision_number present = RevisionOf(call.key);
  if (call.operation == platform_operation::kCompareAndSwap) {
    ++writes_;
    if (present != call.expected) {
      reply.status = platform_status::kConflict;
      reply.revision = present;
      return reply;
    }
    values_[call.key] = {.value = call.value, .revision = ++last_revision_};
    reply.status = platform_status::kOk;
    reply.revision = last_revision_;
    return reply;
  }
  if (present == 0) {
    reply.status = platform_status::kAbsent;
    return reply;
  }
  reply.status = platform_status::kOk;
  reply.revision = present;
  reply.value = values_[call.key].value;
  return reply;
}

platform_reply fake_platform::Read(const std::string& key) {
  return Apply({.operation = platform_operation::kRead, .key = key});
}

platform_reply fake_platform::CompareAndSwap(const std::string& key,
                                             const std::string& value,
                                             revision_number expected) {
  platform_reply reply =
      Apply({.operation = platform_operation::kCompareAndSwap,
             .key = key,
             .value = value,
             .expected = expected});
  if (lose_operator_replies_ > 0 && reply.status == platform_status::kOk) {
    --lose_operator_replies_;
    reply.status = platform_status::kNoReply;
  }
  return reply;
}

}  // namespace cuminswitch
