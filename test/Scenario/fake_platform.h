// The key-value store of the platform in a simulated world: revisions,
// compare-and-swap and lost replies. The world simulates watches, outages and
// delays.
#ifndef CUMINSWITCH_TEST_SCENARIO_FAKE_PLATFORM_H_
#define CUMINSWITCH_TEST_SCENARIO_FAKE_PLATFORM_H_

#include <cstdint>
#include <map>
#include <string>

#include "cuminswitch/Platform/blocking_platform.h"
#include "cuminswitch/Protocol/platform_call.h"

namespace cuminswitch {

/// Stores the values and applies calls to them. The world decides when and
/// whether replies arrive.
class fake_platform : public platform_store {
 public:
  /// Applies the call at once and returns its reply.
  platform_reply Apply(const platform_call& call);

  // For the tools of operators, which run outside the virtual clock.
  platform_reply Read(const std::string& key) override;
  platform_reply CompareAndSwap(const std::string& key,
                                const std::string& value,
                                revision_number expected) override;

  /// Returns the revision of the value at \p key; 0 if there is none.
  revision_number RevisionOf(const std::string& key) const;
  void SetHosts(std::vector<listed_host> hosts) { hosts_ = std::move(hosts); }
  /// Calls of any kind so far, those of operators included.
  uint64_t call_count() const { return calls_; }
  /// Compare-and-swap calls so far, failed ones included.
  uint64_t write_count() const { return writes_; }
  /// Drops the replies to the next \p count successful writes of operators,
  /// which take effect.
  void LoseOperatorReplies(int count) { lose_operator_replies_ = count; }

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
  int lose_operator_replies_ = 0;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_TEST_SCENARIO_FAKE_PLATFORM_H_
