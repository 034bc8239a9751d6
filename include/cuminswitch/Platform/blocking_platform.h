/// \file
/// Synchronous platform calls for command-line tools.
#ifndef CUMINSWITCH_PLATFORM_BLOCKING_PLATFORM_H_
#define CUMINSWITCH_PLATFORM_BLOCKING_PLATFORM_H_

#include <string>

#include "cuminswitch/Platform/platform_client.h"

namespace cuminswitch {

/// The platform calls that operators' tools need.
class platform_store {
 public:
  virtual ~platform_store() = default;
  virtual platform_reply Read(const std::string& key) = 0;
  virtual platform_reply CompareAndSwap(const std::string& key,
                                        const std::string& value,
                                        revision_number expected) = 0;
};

/// Makes each call on an event loop of its own.
class blocking_platform : public platform_store {
 public:
  explicit blocking_platform(const platform_client::options& opts)
      : options_(opts) {}

  platform_reply Read(const std::string& key) override;
  platform_reply CompareAndSwap(const std::string& key,
                                const std::string& value,
                                revision_number expected) override;

 private:
  platform_reply Call(const platform_call& call);

  platform_client::options options_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_PLATFORM_BLOCKING_PLATFORM_H_
