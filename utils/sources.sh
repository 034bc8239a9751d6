#!/usr/bin/env bash
# Lists the C++ sources, except generated code.
cd "$(dirname "$0")/.."
find include lib platform tools utils unittests test fuzz benchmarks \
  \( -name '*.h' -o -name '*.cc' \) ! -name '*_generated.h' 2>/dev/null | sort
