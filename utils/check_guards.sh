#!/usr/bin/env bash
# Mutation test for the scenarios: removes each guard in test/guards from a
# scratch copy of the sources and checks that the scenarios it names then fail.
# A scenario that passes without its guard doesn't test it.
#
# A guard file holds `prevents:`, `fails:` and `file:` lines, then the guarded
# text and its replacement without the guard, each after a `---` line.
#
#   check_guards.sh [GUARD_FILE]   checks one guard, or all
#   check_guards.sh --texts        only checks that each guarded text is in its file
set -euo pipefail
cd "$(dirname "$0")/.."
field() { sed -n "s/^$1: //p" "$2"; }

# remove_guard GUARD SOURCE: replaces the guarded text in the source file; fails
# when the file doesn't contain it.
remove_guard() {
  perl -e '
    local $/;
    open(my $g, "<", $ARGV[0]); my (undef, $old, $new) = split(/^---\n/m, <$g>);
    open(my $f, "<", $ARGV[1]); my $text = <$f>;
    my $at = index($text, $old);
    exit 1 if $at < 0;
    substr($text, $at, length($old)) = $new;
    open(my $o, ">", $ARGV[1]); print $o $text;' "$1" "$2"
}

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
if [[ ${1:-} == --texts ]]; then
  stale=0
  for guard in test/guards/*.guard; do
    cp "$(field file "$guard")" "$scratch/copy"
    remove_guard "$guard" "$scratch/copy" && continue
    echo "STALE  $guard: the guarded text is not in $(field file "$guard")"
    stale=$((stale + 1))
  done
  exit $((stale > 0))
fi
mkdir "$scratch/source"
git ls-files -z | xargs -0 cp --parents -t "$scratch/source"
cmake -S "$scratch/source" -B "$scratch/build" -G Ninja >/dev/null

failures=0
for guard in ${1:-test/guards/*.guard}; do
  name=$(basename "$guard" .guard)
  file=$(field file "$guard")
  cp "$scratch/source/$file" "$scratch/saved"
  if ! remove_guard "$guard" "$scratch/source/$file"; then
    echo "STALE  $name: the guarded text is not in $file"
    failures=$((failures + 1))
    continue
  fi
  if ! ninja -C "$scratch/build" scenario_test random_schedule_test \
    >"$scratch/log" 2>&1; then
    echo "BROKEN $name: does not build without the guard"
    grep error "$scratch/log" | head -3
    failures=$((failures + 1))
  fi
  for scenario in $(field fails "$guard"); do
    if "$scratch/build/test/scenario_test" \
      --gtest_filter="*.Holds/$scenario" >"$scratch/log" 2>&1; then
      echo "PASSES $name: $scenario passes without the guard"
      failures=$((failures + 1))
    else
      reason=$(grep -m1 -oE "scenario: .*" "$scratch/log" || echo crashed)
      echo "fails  $name: $scenario: ${reason#scenario: }"
    fi
  done
  seeds=$("$scratch/build/test/random_schedule_test" 2>/dev/null |
    grep -c "^\[  FAILED  \] .* ms)$" || true)
  echo "       $name: $seeds random schedules fail too"
  # The copy gets a new time stamp, so that the next build compiles it again.
  cp "$scratch/saved" "$scratch/source/$file"
done
echo "$failures guards without proof from a failing scenario"
((failures == 0))
