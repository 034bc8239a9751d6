#include "cuminswitch/CommandLine/program.h"

#include <exception>
#include <iostream>

namespace cuminswitch {

int RunProgram(const char* name,
               int (*run)(int argc, char** argv),
               int argc,
               char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << name << ": " << error.what() << "\n";
    return 1;
  }
}

}  // namespace cuminswitch
