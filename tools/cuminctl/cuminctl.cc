// The command line for operators: dispatches to the commands.
#include <signal.h>

#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>

#include "command.h"
#include "cuminswitch/CommandLine/option_parser.h"
#include "cuminswitch/Support/findings_error.h"

namespace cuminswitch {

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw usage_error(path + ": cannot be read");
  }
  return {std::istreambuf_iterator<char>(file), {}};
}

namespace {

struct command {
  const char* name;
  const char* help;
  int (*run)(const argument_list& arguments);
};

constexpr command kCommands[] = {
    {"check", "Check a document and report every finding", &RunCheck},
    {"diff", "Compare a document with the current configuration", &RunDiff},
    {"submit", "Submit a document as the next configuration", &RunSubmit},
    {"show", "Print the current configuration as a document", &RunShow},
    {"status", "Print the status of daemons, members and upstreams",
     &RunStatus},
    {"addresses", "Print the hosts that a daemon advertises to a workspace",
     &RunAddresses},
    {"report", "Print the burn rates of the error budgets", &RunReport},
    {"explain", "Print the log lines that explain the outcome of a request",
     &RunExplain},
    {"hash", "Print the digest of a credential for use in a document",
     &RunHash},
};

void PrintUsage(std::ostream& out) {
  out << "Usage: cuminctl COMMAND [OPTION...]\n\nCommands:\n";
  for (const command& item : kCommands) {
    out << "  " << item.name
        << std::string(11 - std::string(item.name).size(), ' ') << item.help
        << "\n";
  }
  out << "\n`cuminctl COMMAND --help` lists the options of a command.\n";
}

int Main(const argument_list& arguments) {
  if (arguments.empty()) {
    PrintUsage(std::cerr);
    return kBadUsage;
  }
  const std::string& name = arguments.front();
  if (name == "--help" || name == "-?" || name == "help") {
    PrintUsage(std::cout);
    return kSuccess;
  }
  for (const command& item : kCommands) {
    if (name == item.name) {
      return item.run({arguments.begin() + 1, arguments.end()});
    }
  }
  throw usage_error(name + ": unknown command");
}

}  // namespace
}  // namespace cuminswitch

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  try {
    return cuminswitch::Main(cuminswitch::ArgumentsOf(argc, argv));
  } catch (const cuminswitch::usage_error& error) {
    std::cerr << "cuminctl: " << error.what() << "\n";
    return cuminswitch::kBadUsage;
  } catch (const cuminswitch::findings_error& error) {
    std::cerr << error.what() << "\n";
    return cuminswitch::kFindings;
  } catch (const std::exception& error) {
    std::cerr << "cuminctl: " << error.what() << "\n";
    return cuminswitch::kFailed;
  }
}
