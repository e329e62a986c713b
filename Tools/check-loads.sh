#!/usr/bin/env bash
# Runs the system as processes on the emulated platform, disturbs loads of weights at each of their steps, and checks
# that no token is made with layers that are not whole (WHOLE), and all other promises. Ends with one line of JSON: runs,
# loads that were disturbed by their step, and broken promises; exit status 1 if a promise was broken, 77 if the machine
# could not keep up with any run.
# Options: --seed N (first seed; default: drawn), --seeds N (how many; default 1), --duration S (default 25),
# --processes N (default 9), --jobs N (runs at the same time; default 4), --node PROGRAM and --templates DIR (another
# build of pollenyoke-node), --no-build.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=Tools/lib.sh
source Tools/lib.sh
# shellcheck source=Tools/soak-lib.sh
source Tools/soak-lib.sh
plan=loads duration=25
while [ $# -gt 0 ]; do
  read_soak_option "$1" "${2:-}"
  shift "$taken"
done
build_emulator
make_work_directory
list_seeds | run_soaks
# shellcheck disable=SC2016  # a filter of jq
finish_soaks 'def sum(f): map(f // {} | to_entries[]) | group_by(.key) |
    map({key: .[0].key, value: (map(.value) | add)}) | from_entries;
  {loads_disturbed: sum(.loads_disturbed),
    runs_not_whole: (map(select((.not_whole // {}) != {})) | length), not_whole: sum(.not_whole)}'
