#!/usr/bin/env bash
# Installs the Debian packages that the build needs, unless all are installed.
set -euo pipefail
cd "$(dirname "$0")"
mapfile -t packages < packages.txt
if dpkg-query -W -f '${db:Status-Status}\n' "${packages[@]}" 2>/dev/null |
  awk '$0 != "installed" { missing = 1 } END { exit missing || NR < '"${#packages[@]}"' }'; then
  exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update
apt-get install -y --no-install-recommends "${packages[@]}"
