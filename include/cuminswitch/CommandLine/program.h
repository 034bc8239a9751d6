/// \file
/// The entry point of programs that report exceptions on standard error.
#ifndef CUMINSWITCH_COMMANDLINE_PROGRAM_H_
#define CUMINSWITCH_COMMANDLINE_PROGRAM_H_

namespace cuminswitch {

/// Calls \p run and returns its exit status. Prints an exception thrown by
/// \p run with the name of the program as prefix, and returns 1.
int RunProgram(const char* name,
               int (*run)(int argc, char** argv),
               int argc,
               char** argv);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_COMMANDLINE_PROGRAM_H_
