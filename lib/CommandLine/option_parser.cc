#include "cuminswitch/CommandLine/option_parser.h"

#include <popt.h>

#include <cstdlib>
#include <memory>
#include <utility>

namespace cuminswitch {

struct context_deleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using context_ptr =
    std::unique_ptr<std::remove_pointer_t<poptContext>, context_deleter>;

option_parser::option_parser(std::string program, std::string usage)
    : program_(std::move(program)), usage_(std::move(usage)) {}

void option_parser::AddString(const char* name,
                              std::string& target,
                              const char* help,
                              const char* value_name) {
  options_.push_back({.type = kind::kString,
                      .name = name,
                      .help = help,
                      .value_name = value_name,
                      .text = &target});
}

void option_parser::AddInteger(const char* name,
                               int& target,
                               const char* help) {
  options_.push_back({.type = kind::kInteger,
                      .name = name,
                      .help = help,
                      .value_name = "N",
                      .integer = &target});
}

void option_parser::AddNumber(const char* name,
                              double& target,
                              const char* help) {
  options_.push_back({.type = kind::kNumber,
                      .name = name,
                      .help = help,
                      .value_name = "X",
                      .number = &target});
}

void option_parser::AddFlag(const char* name, bool& target, const char* help) {
  options_.push_back(
      {.type = kind::kFlag, .name = name, .help = help, .flag = &target});
}

std::vector<std::string> option_parser::Parse(
    const std::vector<std::string>& arguments) {
  std::vector<poptOption> table;
  for (option& item : options_) {
    poptOption entry{};
    entry.longName = item.name;
    entry.descrip = item.help;
    entry.argDescrip = item.value_name;
    switch (item.type) {
      case kind::kString:
        entry.argInfo = POPT_ARG_STRING;
        entry.arg = &item.raw_text;
        break;
      case kind::kInteger:
        entry.argInfo = POPT_ARG_INT;
        entry.arg = item.integer;
        break;
      case kind::kNumber:
        entry.argInfo = POPT_ARG_DOUBLE;
        entry.arg = item.number;
        break;
      case kind::kFlag:
        entry.argInfo = POPT_ARG_NONE;
        entry.arg = &item.raw_flag;
        break;
    }
    table.push_back(entry);
  }
  table.push_back({nullptr, '\0', POPT_ARG_INCLUDE_TABLE,
                   static_cast<void*>(poptHelpOptions), 0,
                   "Help options:", nullptr});
  table.push_back({});

  std::vector<const char*> argv{program_.c_str()};
  for (const std::string& argument : arguments) {
    argv.push_back(argument.c_str());
  }
  const context_ptr context(poptGetContext(program_.c_str(),
                                           static_cast<int>(argv.size()),
                                           argv.data(), table.data(), 0));
  poptSetOtherOptionHelp(context.get(), usage_.c_str());
  int result = 0;
  while ((result = poptGetNextOpt(context.get())) >= 0) {
  }
  if (result < -1) {
    throw usage_error(std::string(poptBadOption(context.get(), 0)) + ": " +
                      poptStrerror(result));
  }
  for (option& item : options_) {
    if (item.type == kind::kString && item.raw_text != nullptr) {
      *item.text = item.raw_text;
      std::free(item.raw_text);
    }
    if (item.type == kind::kFlag && item.raw_flag != 0) {
      *item.flag = true;
    }
  }
  std::vector<std::string> positional;
  while (const char* argument = poptGetArg(context.get())) {
    positional.emplace_back(argument);
  }
  return positional;
}

std::vector<std::string> ArgumentsOf(int argc, char** argv) {
  return {argv + 1, argv + argc};
}

}  // namespace cuminswitch
