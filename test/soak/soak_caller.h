/// \file
/// A caller that keeps its connection to one daemon until that is gone.
#ifndef CUMINSWITCH_TEST_SOAK_SOAK_CALLER_H_
#define CUMINSWITCH_TEST_SOAK_SOAK_CALLER_H_

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "cuminswitch/Http1/message_reader.h"
#include "cuminswitch/Net/loop_timer.h"
#include "cuminswitch/Support/endpoint.h"
#include "soak/promise_ledger.h"

struct bufferevent;
struct event_base;

namespace cuminswitch::soak {

/// Sends one request after the other on one connection, and opens the next one
/// only when that is gone.
class soak_caller : public message_sink {
 public:
  struct options {
    std::string name;
    uint64_t seed = 0;
    /// Where to connect next.
    std::function<endpoint()> choose_daemon;
    /// Whether the daemon at an address was undisturbed since a time.
    std::function<bool(const endpoint&, wall_time)> is_sound;
    /// The credential and workspace to use now.
    std::function<std::pair<std::string, std::string>(std::mt19937_64&)>
        choose_workspace;
    /// Sends requests that crash upstreams, too.
    bool sends_crashing = false;
  };

  soak_caller(event_base* base, options opts, promise_ledger& ledger);
  ~soak_caller() override;

  /// Sends no further requests.
  void Stop() { is_stopping_ = true; }
  bool IsIdle() const { return !is_waiting_; }

 private:
  void OnHead(message_head head) override;
  void OnBody(std::string_view data) override;

  void Connect();
  void Disconnect();
  void SendNext();
  /// Makes the next request one that crashes upstreams, the same for all
  /// callers for some seconds.
  void MakeCrashing(std::string& body);
  void OnReadable();
  void OnClosed();
  void EndRequest();

  event_base* base_;
  options options_;
  promise_ledger& ledger_;
  std::mt19937_64 random_;
  loop_timer timer_;
  bufferevent* connection_ = nullptr;
  endpoint daemon_;
  std::unique_ptr<message_reader> reader_;
  sent_request request_;
  seen_answer answer_;
  bool is_waiting_ = false;
  bool is_kept_ = false;
  bool is_stopping_ = false;
  uint64_t count_ = 0;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_SOAK_CALLER_H_
