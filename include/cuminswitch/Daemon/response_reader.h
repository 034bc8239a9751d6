/// \file
/// Parses an engine's streamed response as it is relayed: whether it is
/// complete, and how many tokens it used.
#ifndef CUMINSWITCH_DAEMON_RESPONSE_READER_H_
#define CUMINSWITCH_DAEMON_RESPONSE_READER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminswitch {

/// Exact token counts as reported by an engine.
struct token_usage {
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
  uint32_t completion_tokens = 0;
};

/// Incremental parser of a stream of server-sent events; the stream may be
/// split at any byte.
class response_reader {
 public:
  /// Parses the next bytes of the stream.
  void Feed(std::string_view data);
  /// Whether the stream's terminator, `data: [DONE]`, was received.
  bool SawEnd() const { return saw_end_; }
  const token_usage& usage() const { return usage_; }

 private:
  void ProcessLine(std::string_view line);

  std::string partial_line_;
  bool skipping_line_ = false;
  bool saw_end_ = false;
  token_usage usage_;
};

/// Reads the usage from a complete JSON response or event; zeros when it has
/// none or \p json is malformed.
token_usage ReadUsage(std::string_view json);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_DAEMON_RESPONSE_READER_H_
