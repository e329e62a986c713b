#!/usr/bin/env bash
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0: no disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review/case-$(basename "$here")
[ -x "$program" ] && [ -x target/bin/pollenyoke-node ] || exit 2
timeout --signal=KILL 120 "$program" "$here"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
