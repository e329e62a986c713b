#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=build/review-2/continued-stream
[ -x "$program" ] && [ -x target/bin/pollenyoke-node ] || { echo "build first: review/build-2.sh" >&2; exit 2; }
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
timeout --signal=KILL 115 "$program" "$work" review/7/record.txt
status=$?
tail -3 review/7/record.txt
[ "$status" -le 1 ] || exit 2
exit "$status"
