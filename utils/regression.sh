#!/usr/bin/env bash
# Scores the regression set of the users' deployments and prints, for each, the
# score of its days and how often its gate passed.
#
#   utils/regression.sh BENCH SITES [TIMES [JOBS]]
#
# BENCH is the users' benchmark program, SITES the folder of their site files.
# Each deployment is scored TIMES times (default 1); the mean, the minimum and the
# maximum score of each day are printed. JOBS (default 4) is BENCH's --jobs.
set -euo pipefail
if [ $# -lt 2 ]; then
  sed -n '2,9s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi
bench=$1
sites=$2
times=${3:-1}
jobs=${4:-4}
cd "$(dirname "$0")/.."

# Newest deployments first. The large one replaces the first two deployments.
regression_sites=(
  demands/trz-roam-grown
  demands/socios-quito-grown
  shifted/skzp-objednavky-now-grown
  large/skzp-objednavky-large
  further/shelterline-kgn
  further-grown/shelterline-kgn-grown
  grown/skzp-objednavky-grown
  grown/sneachta-dist-grown
)

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
for site in "${regression_sites[@]}"; do
  out="$scratch/$(basename "$site")"
  for ((i = 0; i < times; ++i)); do
    "$bench" score "$sites/$site.toml" --jobs "$jobs" \
      --why "regression run $((i + 1)) of $times" >>"$out" 2>&1 || true
  done
  echo "$site: $(grep -c '^GATE passed' "$out" || true) of $times gates passed"
  awk '$1 ~ /^(quiet|trouble|scale)-[0-9]+$/ && $2 ~ /\// {
         if (!($1 in n) || $4 < low[$1]) low[$1] = $4
         if (!($1 in n) || $4 > high[$1]) high[$1] = $4
         sum[$1] += $4; ++n[$1]
       }
       END {
         for (day in n) {
           printf "  %-10s %.3f  (%.3f to %.3f)\n", day, sum[day] / n[day], \
             low[day], high[day]
           if (day !~ /^quiet/) { all += sum[day] / n[day]; ++days }
         }
         if (days) printf "  %-10s %.3f\n", "with trouble", all / days
       }' "$out" | sort
done
