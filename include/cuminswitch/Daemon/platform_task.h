/// \file
/// The task that calls the platform's key-value service.
#ifndef CUMINSWITCH_DAEMON_PLATFORM_TASK_H_
#define CUMINSWITCH_DAEMON_PLATFORM_TASK_H_

#include <memory>

#include "cuminswitch/Daemon/daemon_message.h"
#include "cuminswitch/Kernel/task.h"
#include "cuminswitch/Platform/platform_client.h"

namespace cuminswitch {

class kernel;

/// Makes the decision core's platform calls and posts the replies to the
/// decision task.
class platform_task : public task<platform_call> {
 public:
  platform_task(const kernel& services, const platform_client::options& opts);

  std::string_view Name() const override { return kPlatformService; }

 protected:
  void OnStart() override;
  void OnStop() override;
  void Receive(platform_call message) override;

 private:
  const kernel& services_;
  platform_client::options options_;
  std::unique_ptr<platform_client> client_;
};

}  // namespace cuminswitch

#endif  // CUMINSWITCH_DAEMON_PLATFORM_TASK_H_
