#!/usr/bin/env bash
# Checks the table "What upstreams say" of docs/DESIGN.md: each row names who uses
# what an upstream says and a test that exists, or that nobody does and why; and
# each field of a response that platform/ decodes has a row.
set -euo pipefail
cd "$(dirname "$0")/.."
failed=0
complain() {
  echo "check_announcements: $*" >&2
  failed=1
}
table=$(sed -n '/^### What upstreams say/,/^### /p' docs/DESIGN.md | grep '^| ' |
  tail -n +3)
[[ -n $table ]] || complain "docs/DESIGN.md has no table of what upstreams say"
while IFS='|' read -r _ name _ user _ tests _; do
  if [[ $user == *nobody* ]]; then
    [[ $user == *nobody:* ]] || complain "no reason why nobody uses:$name"
    continue
  fi
  found=0
  for test in ${tests//,/ }; do
    if find unittests test -name "$test.cc" -o -name "$test.sh" | grep -q .; then
      found=1
    else
      complain "no such test: $test"
    fi
  done
  ((found == 1)) || complain "no test for:$name"
done <<<"$table"
# The body of ReadResponse names fields by literals and by constants.
body=$(sed -n '/http_protocol::ReadResponse/,/^}/p' platform/http_protocol.cc)
constants=$(grep -o 'k[A-Z][A-Za-z]*' <<<"$body" | sort -u)
fields=$(grep -o '"[A-Z][A-Za-z-]*"' <<<"$body" | tr -d '"')
for constant in $constants; do
  fields+=" $(sed -n "s/.*string_view $constant = \"\(.*\)\";/\1/p" \
    platform/http_protocol.cc)"
done
for field in $fields; do
  grep -qF "\`$field\`" <<<"$table" || complain "no row for $field"
done
exit $failed
