// Runs random schedules of faults and requests over decision cores, with fixed
// seeds. The world checks the guarantees after every event; a failing schedule
// is printed in the format of a scenario file.
#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

#include "Scenario/script.h"

namespace cuminswitch {
namespace {

constexpr uint64_t kSeeds = 150;
constexpr int kSteps = 60;
constexpr int kHosts = 4;
constexpr int kKeys = 6;

/// Writes one schedule, one line per step.
class schedule_writer {
 public:
  explicit schedule_writer(uint64_t seed) : random_(seed) {
    Add("world hosts 4 shards 2 seed " + std::to_string(seed));
    Add("service orders-1 in a serves orders");
    Add("service orders-2 in b serves orders");
    Add("engine reader-1 in a serves reader");
    Add("engine reader-2 in b serves reader");
    Add("submit");
    Add("start all");
    Add("run 3000");
    for (int i = 0; i < kSteps; ++i) {
      AddStep();
    }
    AddRecovery();
  }

  const std::vector<std::string>& lines() const { return lines_; }

 private:
  void Add(std::string line) { lines_.push_back(std::move(line)); }
  /// Returns a random number below \p below.
  int Draw(int below) {
    return static_cast<int>(random_() % static_cast<uint64_t>(below));
  }
  std::string DrawHost() { return "h" + std::to_string(1 + Draw(kHosts)); }
  std::string DrawPlace() {
    return Draw(3) == 0 ? std::string("platform") : DrawHost();
  }
  std::string DrawOf(const std::vector<std::string>& items) {
    return items[static_cast<size_t>(Draw(static_cast<int>(items.size())))];
  }

  void AddSend() {
    const std::string name = "r" + std::to_string(++requests_);
    const std::string to = " to " + DrawHost();
    if (Draw(4) == 0) {
      Add("send " + name + to + " for reader body b" + std::to_string(Draw(5)));
      return;
    }
    const int key =
        Draw(kKeys) + kKeys * (static_cast<int>(lines_.size()) / 40);
    Add("send " + name + to + " for orders key k" + std::to_string(key) +
        " within " + std::to_string(200 + Draw(8000)));
  }

  void AddCut() {
    const std::string a = DrawHost();
    const std::string b = DrawPlace();
    if (a != b) {
      Add("cut " + a + " " + b);
      cuts_.push_back(a + " " + b);
    }
  }

  void AddFault() {
    switch (Draw(12)) {
      case 0:
        Add("freeze " + DrawHost());
        break;
      case 1:
      case 2:
        Add("thaw " + DrawHost());
        break;
      case 3:
        Add("kill " + DrawHost());
        break;
      case 4:
      case 5:
        Add("start " + DrawHost());
        break;
      case 6:
        AddCut();
        break;
      case 7:
        if (!cuts_.empty()) {
          Add("heal " + cuts_.back());
          cuts_.pop_back();
        }
        break;
      case 8:
        Add(DrawOf({"platform down", "platform up", "platform up",
                    "platform slow 800", "platform slow 3"}));
        break;
      case 9:
        Add("platform lose " + std::to_string(1 + Draw(3)));
        break;
      default:
        Add("upstream " + DrawOf({"orders-1", "orders-2", "reader-1"}) + " " +
            DrawOf({"serve", "serve", "break", "down", "busy", "crash",
                    "takes 2000", "takes 10"}));
        break;
    }
  }

  void AddStep() {
    if (Draw(3) == 0) {
      AddFault();
    } else {
      AddSend();
    }
    const int pause = Draw(4);
    if (pause == 0) {
      Add("run " + std::to_string(Draw(10)));
    } else if (pause == 1) {
      Add("run " + std::to_string(Draw(3000)));
    }
  }

  /// Ends all faults and checks that requests are served again.
  void AddRecovery() {
    for (const std::string& cut : cuts_) {
      Add("heal " + cut);
    }
    Add("platform up");
    Add("platform slow 3");
    Add("platform lose 0");
    for (const char* upstream :
         {"orders-1", "orders-2", "reader-1", "reader-2"}) {
      Add(std::string("upstream ") + upstream + " serve");
      Add(std::string("upstream ") + upstream + " takes 10");
    }
    Add("thaw all");
    Add("start all");
    Add("wait 30000 until owners 2");
    Add("run 8000");
    Add("send last1 to h1 for orders key last1");
    Add("send last2 to h2 for reader");
    Add("wait 8000 until last1 answered");
    Add("wait 8000 until last2 answered");
  }

  std::mt19937_64 random_;
  std::vector<std::string> lines_;
  std::vector<std::string> cuts_;
  int requests_ = 0;
};

class random_schedule_test : public testing::TestWithParam<uint64_t> {};

TEST_P(random_schedule_test, MaintainsGuarantees) {
  const schedule_writer schedule(GetParam());
  std::string text;
  for (const std::string& line : schedule.lines()) {
    text += line + "\n";
  }
  try {
    script().Run(text);
  } catch (const std::exception& error) {
    FAIL() << error.what() << "\nThe schedule:\n" << text;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         random_schedule_test,
                         testing::Range<uint64_t>(1, kSeeds + 1));

}  // namespace
}  // namespace cuminswitch
