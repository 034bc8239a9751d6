#!/usr/bin/env bash
# Takes each guard in test/guards out of a scratch copy of the sources and
# checks that the scenarios it names then fail. A scenario that passes without
# its guard proves nothing.
#
# A guard file holds `prevents:`, `fails:` and `file:` lines, then the guarded
# text and what stands in its place without the guard, each after a `---` line.
#
#   check_guards.sh [GUARD_FILE]   one guard, or all
#   check_guards.sh --texts        only that each guarded text is where it says
set -euo pipefail
cd "$(dirname "$0")/.."
field() { sed -n "s/^$1: //p" "$2"; }

# take_out GUARD SOURCE: puts what stands without the guard in its place; fails
# when the guarded text is not there.
take_out() {
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
    take_out "$guard" "$scratch/copy" && continue
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
  if ! take_out "$guard" "$scratch/source/$file"; then
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
  # Newer than the object file, so that the next build compiles it again.
  cp "$scratch/saved" "$scratch/source/$file"
done
echo "$failures guards not shown to matter"
((failures == 0))
