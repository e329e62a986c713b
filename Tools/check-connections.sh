#!/usr/bin/env bash
# Runs the system as processes on the emulated platform with connections to the store and between processes that go
# silent for good while new ones work, beside changes of the configuration and processes that stand still, and checks that
# each change is in force in time (CONFIG), and all other promises. Ends with one line of JSON; exit status 1 if a promise
# was broken, 77 if the machine could not keep up with any run.
# Options: --seed N (first seed; default: drawn), --seeds N (how many; default 1), --duration S (default 30),
# --processes N (default 9), --jobs N (runs at the same time; default 4), --node PROGRAM and --templates DIR (another
# build of pollenyoke-node), --no-build.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=Tools/lib.sh
source Tools/lib.sh
# shellcheck source=Tools/soak-lib.sh
source Tools/soak-lib.sh
plan=connections duration=30
while [ $# -gt 0 ]; do
  read_soak_option "$1" "${2:-}"
  shift "$taken"
done
build_emulator
make_work_directory
list_seeds | run_soaks
finish_soaks '{faults: (map(.faults) | add)}'
