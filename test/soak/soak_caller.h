/// \file
/// A caller that keeps its connection to a daemon until it closes.
#ifndef CUMINSWITCH_TEST_SOAK_SOAK_CALLER_H_
#define CUMINSWITCH_TEST_SOAK_SOAK_CALLER_H_

#include <chrono>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "cuminswitch/Http1/message_reader.h"
#include "cuminswitch/Net/loop_timer.h"
#include "cuminswitch/Support/endpoint.h"
#include "soak/guarantee_checker.h"

struct bufferevent;
struct event_base;

namespace cuminswitch::soak {

/// Sends one request after the other on one connection. Connects to the next
/// daemon only when the connection has ended.
class soak_caller : public message_sink {
 public:
  struct options {
    std::string name;
    uint64_t seed = 0;
    /// Returns the caller address of the daemon to connect to next.
    std::function<endpoint()> choose_daemon;
    /// Whether the daemon at an address has been undisturbed since well before
    /// a time.
    std::function<bool(const endpoint&, steady_time)> is_undisturbed;
    /// Returns a credential and its workspace for the next request.
    std::function<std::pair<std::string, std::string>(std::mt19937_64&)>
        choose_workspace;
    /// Also sends requests that crash upstreams.
    bool sends_crashing = false;
    /// Returns the prompt part that crashes upstreams, which some requests name
    /// beside parts that others share; empty for none. If it is not set, the
    /// shared parts of all prompts are equal.
    std::function<std::string()> choose_crashing_part;
    /// Sends the same request as the other callers every second time.
    bool sends_equal = false;
    /// The deadline that the caller sends with each request.
    std::chrono::milliseconds deadline{2'000};
    /// All streams last for about a second, and most requests are streams that
    /// may be resumed.
    bool sends_slow = false;
    /// Waits for the time that a refusal states before the next request.
    bool keeps_retry_after = false;
    /// Resumes streams that end before they are complete.
    bool resumes_streams = false;
  };

  soak_caller(event_base* base, options opts, guarantee_checker& checker);
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
  /// Turns the next request into one that crashes upstreams. All callers send
  /// the same such request for some seconds.
  void MakeCrashing(std::string& body);
  /// Turns the next request into one with a prompt part that crashes upstreams.
  void MakePartCrashing(const std::string& part);
  /// Returns the parts of the next request's prompt.
  std::string MakePromptParts();
  /// Returns the fields that resume the stream that the last response broke
  /// off, and turns the next request into that; empty if there is none.
  std::string MakeResumption();
  /// Keeps the events of a stream that is to be resumed.
  void KeepBegunStream();
  void OnReadable();
  void OnClosed();
  void EndRequest();

  event_base* base_;
  options options_;
  guarantee_checker& checker_;
  std::mt19937_64 random_;
  loop_timer timer_;
  bufferevent* connection_ = nullptr;
  endpoint daemon_;
  std::unique_ptr<message_reader> reader_;
  sent_request request_;
  observed_response response_;
  bool is_waiting_ = false;
  bool keeps_connection_ = false;
  /// Time from the end of a connection to the next one.
  std::chrono::milliseconds reconnect_delay_{0};
  bool is_stopping_ = false;
  uint64_t count_ = 0;
  /// The complete events of a stream that is to be resumed, and the attempt
  /// that brought the first of them.
  std::string begun_events_;
  std::string begun_attempt_;
  std::string begun_path_;
  int resumptions_ = 0;
};

}  // namespace cuminswitch::soak

#endif  // CUMINSWITCH_TEST_SOAK_SOAK_CALLER_H_
