#!/usr/bin/env bash
# Builds the daemon in a scratch folder with the build type and options of
# deploy/system.toml and runs its --help. The packages that deploy/system.toml
# lists must be installed on this machine.
set -euo pipefail
cd "$(dirname "$0")/.."
packages=$(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | tr -d '",')
for package in $packages; do
  dpkg-query -W -f '${db:Status-Status}' "$package" | grep -qx installed ||
    { echo "deploy/system.toml: $package is not installed here" >&2; exit 1; }
done
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
cmake -S . -B "$scratch" -DCMAKE_BUILD_TYPE=RelWithDebInfo \
  -DCUMINSWITCH_TESTS=OFF >/dev/null
cmake --build "$scratch" -j"$(nproc)" --target cuminswitchd >/dev/null
"$scratch/tools/cuminswitchd" --help | grep -q -- --platform
echo "check_platform_build: ok"
