#!/usr/bin/env bash
# Runs the system as processes on the emulated platform, injects faults that are drawn from a seed, and checks what
# callers and backend servers saw. Ends with one line of JSON; exit status 1 if a promise was broken, 77 if the machine
# could not keep up with any run.
# Options: --seed N (first seed; default: drawn), --seeds N (how many; default 1), --duration S (default 60),
# --processes N (default 9), --jobs N (runs at the same time; default 4), --recorded (the seeds of Data/soak-seeds.yaml),
# --self-check (only the checks themselves), --node PROGRAM and --templates DIR (another build of pollenyoke-node),
# --no-build.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=Tools/lib.sh
source Tools/lib.sh
# shellcheck source=Tools/soak-lib.sh
source Tools/soak-lib.sh
recorded=0 self_check=0
while [ $# -gt 0 ]; do
  case $1 in
    --recorded) recorded=1; shift ;;
    --self-check) self_check=1; shift ;;
    *) read_soak_option "$1" "${2:-}"; shift "$taken" ;;
  esac
done
build_emulator
[ "$self_check" -eq 0 ] || exec "$emulator" self-check

list_runs() {
  if [ "$recorded" -eq 1 ]; then
    sed -n 's/^- { seed: \([0-9]*\), duration: \([0-9]*\), processes: \([0-9]*\), .*/\1 \2 \3/p' Data/soak-seeds.yaml
  else
    list_seeds
  fi
}

make_work_directory
list_runs | run_soaks
finish_soaks '{faults: (map(.faults) | add)}'
