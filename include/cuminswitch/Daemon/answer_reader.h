/// \file
/// Follows an engine's answer as it passes: is it whole, and what did it use.
#ifndef CUMINSWITCH_DAEMON_ANSWER_READER_H_
#define CUMINSWITCH_DAEMON_ANSWER_READER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace cuminswitch {

/// Exact token counts that an engine states.
struct token_usage {
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
  uint32_t completion_tokens = 0;
};

/// Reads a stream of server-sent events piece by piece, however it is cut.
class answer_reader {
 public:
  /// Takes the next bytes in.
  void Feed(std::string_view data);
  /// Whether the stream's terminal mark has come.
  bool SawEnd() const { return saw_end_; }
  const token_usage& usage() const { return usage_; }

 private:
  void TakeLine(std::string_view line);

  std::string partial_line_;
  bool skipping_line_ = false;
  bool saw_end_ = false;
  token_usage usage_;
};

/// Reads the usage from a whole JSON answer or event; zeros when it has none.
token_usage ReadUsage(std::string_view json);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_DAEMON_ANSWER_READER_H_
