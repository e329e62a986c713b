#!/usr/bin/env bash
# Builds, starts a small fleet on loopback (3 regions, 3 entries, 9 engines, 3 booking services),
# publishes a release and sends requests while it spreads. Ends with one line of JSON; the exit
# status is 0 only if all replicas serve and each answer was whole or honestly refused.
# With --keep the fleet then stays up until Ctrl-C, and commands to try are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=Tools/lib.sh
source Tools/lib.sh
stop_all_on_exit
keep=0
[ "${1:-}" != --keep ] || keep=1

say "demo: installing and building"
build_release
make_work_directory
bytes=12000000
window=12

# In a window the origin carries four copies, a host's link and a regional link two.
"$bench" layout "--out=$work/fleet" --entries=3 --engines=9 --services=3 "--daemon=$daemon" \
  "--host-rate=$((2 * bytes / window))" "--origin-rate=$((4 * bytes / window))" \
  "--region-rate=$((2 * bytes / window))"
say "demo: starting stand-ins, 3 entries and 12 agents in 3 regions"
start_fleet

make_release v1 --version=v1 "--bytes=$bytes" --chunk-bytes=32768
say "demo: publishing assistant v1, $bytes bytes"
since=$(now_ms)
publish v1 || die "the release note was not accepted: $(cat "$work/publish-v1.json")"

"$bench" load "--fleet=$work/fleet/fleet.json" --requests=200 --rate=14 --service-fraction=0.3 \
  --progress "--record=$work/records.jsonl" >"$work/load.json" &
pid_of[load]=$!
load_pid=${pid_of[load]}
"$bench" wait "--fleet=$work/fleet/fleet.json" --version=v1 "--since-ms=$since" --timeout=120 \
  >"$work/wait.json" || say "demo: not all replicas serve"
wait "$load_pid" || say "demo: the load tool failed"
unset "pid_of[load]"

say "demo: requests: $(jq -c '{sent,whole,not_run,unknown,rejected,wrong,problems}' "$work/load.json")"
status=0
"$bench" report demo "--fleet=$work/fleet/fleet.json" "--release=$work/v1.json" \
  "--wait=$work/wait.json" "--load=$work/load.json" || status=$?

if [ "$keep" -eq 1 ]; then
  make_release v2 --version=v2 "--bytes=$bytes" --chunk-bytes=32768 --seed=2 --change
  log=$(fleet_value .log) hosts=$(fleet_value .host_list)
  cat >&2 <<END
The fleet stays up until Ctrl-C. To try, in another terminal:
  $ctl status --log $log --host-list $hosts
  $ctl publish $work/v2.yaml --log $log
  $ctl watch --log $log --host-list $hosts
  $ctl stop $(fleet_value '[.hosts[] | select(.kind == "engine")][0].host') --log $log
  $ctl dump $(fleet_value '[.hosts[] | select(.kind == "engine")][0].admin')
  curl -sN http://$(fleet_value '[.hosts[] | select(.kind == "entry")][0].http')/v1/models/assistant/generate \\
    -d '{"prompt":"a quote for 40 crates","max_tokens":8}'
END
  trap 'exit $status' INT TERM
  while true; do sleep 1; done
fi
exit "$status"
