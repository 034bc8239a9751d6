// Sends requests to daemons in rotation at a constant rate, whether or not
// earlier ones have been answered, and prints for each second
//
//   second N sent SENT served SERVED refused REFUSED failed FAILED late LATE
//
// by the time at which a request was sent. A request is refused when its
// response promises that it was not executed (429 or 503), and its refusal is
// late when it took more than a quarter of the deadline.
#include <event2/event.h>

#include <chrono>
#include <iostream>
#include <list>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "cuminswitch/CommandLine/option_parser.h"
#include "cuminswitch/CommandLine/program.h"
#include "cuminswitch/Net/http_call.h"
#include "cuminswitch/Net/loop_timer.h"

namespace cuminswitch {
namespace {

using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds kTick{2};
/// Time after its deadline in which a response still counts.
constexpr std::chrono::milliseconds kGrace{500};

struct load_options {
  std::vector<endpoint> daemons;
  std::string path;
  std::string credential;
  /// Model that the requests name; empty for requests to a plain service.
  std::string model;
  int rate = 100;
  int seconds = 10;
  int deadline_ms = 600;
};

struct second_counts {
  uint32_t sent = 0;
  uint32_t served = 0;
  uint32_t refused = 0;
  uint32_t failed = 0;
  uint32_t late = 0;
};

class call_record : public http_call_handler {
 public:
  call_record(second_counts& counts, std::chrono::milliseconds deadline)
      : counts_(counts), deadline_(deadline) {
    ++counts_.sent;
  }

  void Start(http_client& client, const http_call_options& opts) {
    call_ = client.Start(opts, *this);
  }
  bool has_ended() const { return has_ended_; }
  clock::time_point begun() const { return begun_; }

  void OnHeaders(const http_response_head& head) override {
    status_ = head.status;
  }
  void OnData(std::string_view /*data*/) override {}
  void OnEnd(http_result result) override {
    has_ended_ = true;
    const bool is_complete = result == http_result::kComplete;
    if (is_complete && status_ == 200) {
      ++counts_.served;
    } else if (is_complete && (status_ == 429 || status_ == 503)) {
      ++counts_.refused;
      counts_.late += clock::now() - begun_ > deadline_ / 4 ? 1 : 0;
    } else {
      ++counts_.failed;
    }
  }
  /// Counts a call without a response as failed.
  void GiveUp() {
    if (!has_ended_) {
      ++counts_.failed;
    }
  }

 private:
  second_counts& counts_;
  std::chrono::milliseconds deadline_;
  clock::time_point begun_ = clock::now();
  uint32_t status_ = 0;
  bool has_ended_ = false;
  std::unique_ptr<http_call> call_;
};

class load_generator {
 public:
  load_generator(event_base* base, load_options opts)
      : base_(base),
        options_(std::move(opts)),
        client_(base),
        timer_(base, [this] { OnTick(); }) {
    timer_.Start(kTick);
  }

  void Print() {
    for (call_record& item : calls_) {
      item.GiveUp();
    }
    for (const auto& [second, counts] : counts_) {
      std::cout << "second " << second << " sent " << counts.sent << " served "
                << counts.served << " refused " << counts.refused << " failed "
                << counts.failed << " late " << counts.late << "\n";
    }
  }

 private:
  void OnTick() {
    const auto now = clock::now();
    const std::chrono::duration<double> elapsed = now - begun_;
    const std::chrono::milliseconds deadline(options_.deadline_ms);
    calls_.remove_if([&](call_record& item) {
      const bool is_overdue = now - item.begun() > deadline + kGrace;
      if (is_overdue) {
        item.GiveUp();
      }
      return item.has_ended() || is_overdue;
    });
    if (elapsed.count() >= options_.seconds) {
      if (calls_.empty()) {
        event_base_loopbreak(base_);
      }
    } else {
      const auto due = static_cast<uint64_t>(elapsed.count() * options_.rate);
      while (sent_ < due) {
        Send(static_cast<int>(elapsed.count()));
      }
    }
    timer_.Start(kTick);
  }

  void Send(int second) {
    const std::string id =
        std::to_string(prefix_) + "-" + std::to_string(sent_);
    const endpoint& to = options_.daemons[sent_++ % options_.daemons.size()];
    call_record& record = calls_.emplace_back(
        counts_[second], std::chrono::milliseconds(options_.deadline_ms));
    http_headers headers = {
        {"Host", "h"},
        {"X-Attempt-Id", id},
        {"X-Deadline-Ms", std::to_string(options_.deadline_ms)},
        {"Authorization", "Token " + options_.credential}};
    if (!options_.model.empty()) {
      headers.push_back({"X-Model", options_.model});
      headers.push_back({"X-Token-Usage", "100,10"});
      headers.push_back({"X-Prompt-Prefix", "aa:90," + id + ":10"});
    }
    record.Start(client_, {.to = to,
                           .method = http_method::kPost,
                           .path = options_.path,
                           .headers = std::move(headers),
                           .body = id});
  }

  event_base* base_;
  load_options options_;
  http_client client_;
  loop_timer timer_;
  clock::time_point begun_ = clock::now();
  /// Distinguishes the requests of concurrent programs.
  int64_t prefix_ = begun_.time_since_epoch().count();
  uint64_t sent_ = 0;
  std::map<int, second_counts> counts_;
  std::list<call_record> calls_;
};

struct base_deleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

int Main(int argc, char** argv) {
  load_options options;
  std::string daemons;
  option_parser parser("steady_load", "[OPTION...]");
  parser.AddString("daemons", daemons, "Caller addresses, with commas between",
                   "ADDRESSES");
  parser.AddString("path", options.path, "Path of the requests", "PATH");
  parser.AddString("credential", options.credential, "Credential", "KEY");
  parser.AddString("model", options.model,
                   "Model that requests to engines name; empty for a service",
                   "MODEL");
  parser.AddInteger("rate", options.rate, "Requests per second");
  parser.AddInteger("seconds", options.seconds, "How long to send requests");
  parser.AddInteger("deadline-ms", options.deadline_ms,
                    "Deadline of each request");
  parser.Parse(ArgumentsOf(argc, argv));
  std::istringstream list(daemons);
  for (std::string item; std::getline(list, item, ',');) {
    const std::optional<endpoint> address = ParseEndpoint(item);
    if (!address) {
      throw usage_error("--daemons: " + item +
                        " is not a numeric address:port");
    }
    options.daemons.push_back(*address);
  }
  if (options.daemons.empty()) {
    throw usage_error("--daemons must name at least one daemon");
  }
  const std::unique_ptr<event_base, base_deleter> base(event_base_new());
  load_generator load(base.get(), options);
  event_base_dispatch(base.get());
  load.Print();
  return 0;
}

}  // namespace
}  // namespace cuminswitch

int main(int argc, char** argv) {
  return cuminswitch::RunProgram("steady_load", &cuminswitch::Main, argc, argv);
}
