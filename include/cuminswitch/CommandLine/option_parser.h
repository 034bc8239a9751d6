/// \file
/// Command-line options, parsed with popt.
#ifndef CUMINSWITCH_COMMANDLINE_OPTION_PARSER_H_
#define CUMINSWITCH_COMMANDLINE_OPTION_PARSER_H_

#include <deque>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace cuminswitch {

/// Thrown for an invalid command line; the message names the argument.
class usage_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Declares options bound to variables, and parses them. `--help` prints the
/// options and exits with status 0.
class option_parser {
 public:
  /// \p usage follows the name of the program in the usage line, for example
  /// `[OPTION...] FILE`.
  option_parser(std::string program, std::string usage);

  void AddString(const char* name,
                 std::string& target,
                 const char* help,
                 const char* value_name = "TEXT");
  void AddInteger(const char* name, int& target, const char* help);
  void AddNumber(const char* name, double& target, const char* help);
  void AddFlag(const char* name, bool& target, const char* help);

  /// Parses \p arguments, which do not include the name of the program, and
  /// returns those that are not options. Throws `usage_error`.
  std::vector<std::string> Parse(const std::vector<std::string>& arguments);

 private:
  enum class kind { kString, kInteger, kNumber, kFlag };
  struct option {
    kind type = kind::kString;
    const char* name = nullptr;
    const char* help = nullptr;
    const char* value_name = nullptr;
    std::string* text = nullptr;
    int* integer = nullptr;
    double* number = nullptr;
    bool* flag = nullptr;
    /// Variables that popt writes.
    char* raw_text = nullptr;
    int raw_flag = 0;
  };

  std::string program_;
  std::string usage_;
  std::deque<option> options_;
};

/// Returns the arguments without the name of the program.
std::vector<std::string> ArgumentsOf(int argc, char** argv);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_COMMANDLINE_OPTION_PARSER_H_
