#!/usr/bin/env bash
# Installs, builds, and runs 3 entries and 6 agents as processes on an emulated platform on loopback: store, engines,
# plain services, origin of weights, operator and callers. Prints what happens and ends with one line of JSON.
# Options: --duration S (default 30), --deployment FILE, --keep: stays up for a day or until Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=Tools/lib.sh
source Tools/lib.sh
duration=30 deployment=Data/emulator.yaml
while [ $# -gt 0 ]; do
  case $1 in
    --duration) duration=$2; shift 2 ;;
    --deployment) deployment=$2; shift 2 ;;
    --keep) duration=86400; shift ;;
    *) die "unknown option $1; see the head of $0" ;;
  esac
done
say "platform: installing and building"
build_release
make_work_directory
say "platform: settings and logs are in $work"
exec "$bin/Emulator/pollenyoke-emulator" run --deployment "$deployment" --duration "$duration" \
  --work "$work" --node "$repo/build/release/bin/pollenyoke-node" --templates "$repo/deploy"
