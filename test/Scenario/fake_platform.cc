#include "Scenario/fake_platform.h"

namespace cuminswitch {

revision_number fake_platform::RevisionOf(const std::string& key) const {
  const auto found = values_.find(key);
  return found == values_.end() ? 0 : found->second.revision;
}

platform_reply fake_platform::Apply(const platform_call& call) {
  ++calls_;
  platform_reply answer{.tag = call.tag};
  if (call.operation == platform_operation::kListHosts) {
    answer.status = platform_status::kOk;
    answer.hosts = hosts_;
    return answer;
  }
  const revision_number present = RevisionOf(call.key);
  if (call.operation == platform_operation::kCompareAndSwap) {
    ++writes_;
    if (present != call.expected) {
      answer.status = platform_status::kConflict;
      answer.revision = present;
      return answer;
    }
    values_[call.key] = {.value = call.value, .revision = ++last_revision_};
    answer.status = platform_status::kOk;
    answer.revision = last_revision_;
    return answer;
  }
  if (present == 0) {
    answer.status = platform_status::kAbsent;
    return answer;
  }
  answer.status = platform_status::kOk;
  answer.revision = present;
  answer.value = values_[call.key].value;
  return answer;
}

platform_reply fake_platform::Read(const std::string& key) {
  return Apply({.operation = platform_operation::kRead, .key = key});
}

platform_reply fake_platform::CompareAndSwap(const std::string& key,
                                             const std::string& value,
                                             revision_number expected) {
  platform_reply answer =
      Apply({.operation = platform_operation::kCompareAndSwap,
             .key = key,
             .value = value,
             .expected = expected});
  if (lose_operator_replies_ > 0 && answer.status == platform_status::kOk) {
    --lose_operator_replies_;
    answer.status = platform_status::kNoAnswer;
  }
  return answer;
}

}  // namespace cuminswitch
