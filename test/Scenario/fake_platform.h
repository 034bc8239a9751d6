// The platform's key-value service inside the scenario world: revisions,
// compare-and-swap and watches, with outages, slowness and lost answers.
#ifndef CUMINSWITCH_TEST_SCENARIO_FAKE_PLATFORM_H_
#define CUMINSWITCH_TEST_SCENARIO_FAKE_PLATFORM_H_

#include <cstdint>
#include <map>
#include <string>

#include "cuminswitch/Platform/blocking_platform.h"
#include "cuminswitch/Protocol/platform_call.h"

namespace cuminswitch {

/// The stored values. When and whether answers arrive is the world's business.
class fake_platform : public platform_store {
 public:
  /// Carries the call out at once.
  platform_reply Apply(const platform_call& call);

  /// For operators' tools, which run outside the world's time.
  platform_reply Read(const std::string& key) override;
  platform_reply CompareAndSwap(const std::string& key,
                                const std::string& value,
                                revision_number expected) override;

  revision_number RevisionOf(const std::string& key) const;
  void SetHosts(std::vector<listed_host> hosts) { hosts_ = std::move(hosts); }
  uint64_t call_count() const { return calls_; }
  uint64_t write_count() const { return writes_; }
  /// Makes the next \p count operators' writes take effect without an answer.
  void LoseOperatorAnswers(int count) { lose_operator_answers_ = count; }

 private:
  struct stored_value {
    std::string value;
    revision_number revision = 0;
  };

  std::map<std::string, stored_value> values_;
  std::vector<listed_host> hosts_;
  revision_number last_revision_ = 0;
  uint64_t calls_ = 0;
  uint64_t writes_ = 0;
  int lose_operator_answers_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_TEST_SCENARIO_FAKE_PLATFORM_H_
