// Sends one HTTP request and prints the response body; exits with 0 only on a
// 2xx status. A BODY argument makes the request a POST with that body: `-`
// stands for an empty body, `@` for the contents of the file that the variable
// FETCH_BODY_FILE names. The variable FETCH_HEADERS holds further headers, one
// `Name: value` per line.
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <sstream>
#include <string>

#include "cuminswitch/Net/blocking_http.h"

using cuminswitch::http_result;

static cuminswitch::http_headers ReadHeaders() {
  cuminswitch::http_headers headers;
  const char* text = std::getenv("FETCH_HEADERS");
  std::istringstream lines(text == nullptr ? "" : text);
  for (std::string line; std::getline(lines, line);) {
    const size_t colon = line.find(": ");
    if (colon != std::string::npos) {
      headers.push_back(
          {.name = line.substr(0, colon), .value = line.substr(colon + 2)});
    }
  }
  return headers;
}

static std::string ReadBody(const std::string& word) {
  if (word == "-") {
    return {};
  }
  const char* path = std::getenv("FETCH_BODY_FILE");
  if (word != "@" || path == nullptr) {
    return word;
  }
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

int main(int argc, char** argv) {
  if (argc < 3) {
    std::cerr << "usage: fetch ADDRESS PATH [BODY]\n";
    return 2;
  }
  const auto address = cuminswitch::ParseEndpoint(argv[1]);
  if (!address) {
    std::cerr << "fetch: " << argv[1] << ": not a numeric address:port\n";
    return 2;
  }
  cuminswitch::http_call_options call{
      .to = *address, .path = argv[2], .headers = ReadHeaders()};
  if (argc > 3) {
    call.method = cuminswitch::http_method::kPost;
    call.body = ReadBody(argv[3]);
  }
  const auto response = cuminswitch::FetchBlocking(call);
  const uint32_t status = response.head.status;
  std::cout << response.body;
  if (response.end != http_result::kComplete || status < 200 || status > 299) {
    std::cerr << "fetch: status " << status << "\n";
    return 1;
  }
  return 0;
}
