/// \file
/// How a program that reports its errors on standard error begins.
#ifndef CUMINSWITCH_COMMANDLINE_PROGRAM_H_
#define CUMINSWITCH_COMMANDLINE_PROGRAM_H_

namespace cuminswitch {

/// Runs \p run and returns its exit status, or 1 after it has printed what
/// \p run threw behind the name of the program.
int RunProgram(const char* name,
               int (*run)(int argc, char** argv),
               int argc,
               char** argv);

}  // namespace cuminswitch

#endif  // CUMINSWITCH_COMMANDLINE_PROGRAM_H_
