// Sends one chat request with a long prompt, as a caller would: fetches the
// host addresses from a daemon, connects to the first, streams the response,
// and prints the time to first token and the token usage.
#include <event2/event.h>

#include <chrono>
#include <iomanip>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

#include "cuminswitch/CommandLine/option_parser.h"
#include "cuminswitch/CommandLine/program.h"
#include "cuminswitch/Daemon/response_reader.h"
#include "cuminswitch/Net/blocking_http.h"
#include "cuminswitch/Net/http_call.h"

namespace cuminswitch {
namespace {

using clock = std::chrono::steady_clock;

struct base_deleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

class printing_handler : public http_call_handler {
 public:
  explicit printing_handler(event_base* base) : base_(base) {}

  void OnHeaders(const http_response_head& head) override {
    status = head.status;
  }
  void OnData(std::string_view data) override {
    if (!first_byte) {
      first_byte = clock::now();
    }
    reader.Feed(data);
    text += data;
  }
  void OnEnd(http_result final_result) override {
    result = final_result;
    event_base_loopbreak(base_);
  }

  uint32_t status = 0;
  http_result result = http_result::kNotConnected;
  std::optional<clock::time_point> first_byte;
  response_reader reader;
  std::string text;

 private:
  event_base* base_;
};

endpoint FetchAddress(const endpoint& daemon, const std::string& credential) {
  const blocking_response response =
      FetchBlocking({.to = daemon,
                     .path = "/v1/addresses",
                     .headers = {{.name = "Authorization",
                                  .value = "Bearer " + credential}}});
  if (response.head.status != 200) {
    throw std::runtime_error("no addresses from the daemon: " + response.body);
  }
  const auto json = nlohmann::json::parse(response.body);
  const auto address =
      ParseEndpoint(json["addresses"][0]["address"].get<std::string>());
  std::cout << "address response: " << response.body;
  return address.value();
}

std::string MakeBody(const std::string& model, int kilobytes) {
  std::string contract = "Standing terms of supply.";
  for (int i = 0; contract.size() < static_cast<size_t>(kilobytes) * 1024;
       ++i) {
    contract += " Clause " + std::to_string(i) +
                ": the supplier delivers before the morning market.";
  }
  const nlohmann::json body = {
      {"model", model},
      {"stream", true},
      {"max_tokens", 16},
      {"messages",
       {{{"role", "system"}, {"content", "You check kitchen orders."}},
        {{"role", "system"}, {"content", contract}},
        {{"role", "user"}, {"content", "Forty crates of peppers for six."}}}}};
  return body.dump();
}

int Main(int argc, char** argv) {
  std::string daemon;
  std::string credential;
  std::string model;
  int kilobytes = 48;
  bool direct = false;
  option_parser parser("ask", "[OPTION...]");
  parser.AddString("daemon", daemon, "Address of any daemon", "ADDRESS");
  parser.AddString("credential", credential, "The workspace's credential");
  parser.AddString("model", model, "Model to request");
  parser.AddInteger("kilobytes", kilobytes,
                    "Length of the shared prefix in KiB");
  parser.AddFlag("direct", direct, "Send the request to the daemon itself");
  parser.Parse(ArgumentsOf(argc, argv));
  const std::optional<endpoint> first = ParseEndpoint(daemon);
  if (!first) {
    throw usage_error("--daemon must be a numeric address:port");
  }
  const endpoint address = direct ? *first : FetchAddress(*first, credential);
  const std::unique_ptr<event_base, base_deleter> base(event_base_new());
  printing_handler handler(base.get());
  const clock::time_point begin = clock::now();
  http_client client(base.get());
  const std::unique_ptr<http_call> call = client.Start(
      {.to = address,
       .method = http_method::kPost,
       .path = "/v1/chat/completions",
       .headers = {{.name = "Authorization", .value = "Bearer " + credential},
                   {.name = "Content-Type", .value = "application/json"}},
       .body = MakeBody(model, kilobytes)},
      handler);
  event_base_dispatch(base.get());
  if (handler.status != 200 || !handler.reader.SawEnd()) {
    std::cerr << "ask: status " << handler.status << " " << handler.text
              << "\n";
    return 1;
  }
  const double millis =
      std::chrono::duration<double, std::milli>(*handler.first_byte - begin)
          .count();
  const token_usage& usage = handler.reader.usage();
  std::cout << "first_token_ms=" << std::fixed << std::setprecision(1) << millis
            << " prompt_tokens=" << usage.prompt_tokens
            << " cached_tokens=" << usage.cached_tokens
            << " completion_tokens=" << usage.completion_tokens << "\n";
  return 0;
}

}  // namespace
}  // namespace cuminswitch

int main(int argc, char** argv) {
  return cuminswitch::RunProgram("ask", &cuminswitch::Main, argc, argv);
}
