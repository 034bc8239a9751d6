#include "cuminswitch/Kernel/kernel.h"

#include <gtest/gtest.h>

#include <future>
#include <memory>
#include <string>
#include <vector>

#include "cuminswitch/Kernel/task.h"

namespace cuminswitch {
namespace {

class logging_service : public service {
 public:
  logging_service(std::string name, std::vector<std::string>& log, bool fails)
      : name_(std::move(name)), log_(log), fails_(fails) {}
  std::string_view Name() const override { return name_; }
  void Start() override {
    if (fails_) {
      throw std::runtime_error("cannot start");
    }
    log_.push_back("start " + name_);
  }
  void Stop() override { log_.push_back("stop " + name_); }

 private:
  std::string name_;
  std::vector<std::string>& log_;
  bool fails_;
};

TEST(KernelTest, StopsInReverseOrderOfStart) {
  std::vector<std::string> log;
  kernel services;
  services.Register(std::make_unique<logging_service>("a", log, false));
  services.Register(std::make_unique<logging_service>("b", log, false));
  services.StartAll();
  services.StopAll();
  EXPECT_EQ(log, (std::vector<std::string>{"start a", "start b", "stop b",
                                           "stop a"}));
}

TEST(KernelTest, StopsStartedServicesWhenAStartFails) {
  std::vector<std::string> log;
  kernel services;
  services.Register(std::make_unique<logging_service>("a", log, false));
  services.Register(std::make_unique<logging_service>("b", log, true));
  EXPECT_THROW(services.StartAll(), std::runtime_error);
  EXPECT_EQ(log, (std::vector<std::string>{"start a", "stop a"}));
}

TEST(KernelTest, RejectsUnknownNamesAndMessageTypes) {
  std::vector<std::string> log;
  kernel services;
  services.Register(std::make_unique<logging_service>("a", log, false));
  EXPECT_THROW(services.Find("b"), std::out_of_range);
  EXPECT_THROW(services.FindPort<int>("a"), std::logic_error);
}

class summing_task : public task<int> {
 public:
  std::string_view Name() const override { return "sum"; }
  std::promise<int> result;

 protected:
  void OnStart() override {}
  void OnStop() override {}
  void Receive(int message) override {
    if (message == 0) {
      result.set_value(sum_);
      return;
    }
    sum_ += message;
  }

 private:
  int sum_ = 0;
};

TEST(TaskTest, DeliversMessagesOfOneSenderInOrder) {
  summing_task sum;
  sum.Start();
  for (int i = 1; i <= 1000; ++i) {
    sum.Post(i);
  }
  sum.Post(0);
  EXPECT_EQ(sum.result.get_future().get(), 500'500);
  sum.Stop();
}

}  // namespace
}  // namespace cuminswitch
