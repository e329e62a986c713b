#!/usr/bin/env bash
# Measures live requests under one scenario against a small fleet (3 entries, 9 engines, 3 booking
# services). Ends with one line of JSON; the exit status is 1 if an answer was wrong, a keyed call
# ran twice or a request that was reported as "not run" had run.
#
# Options: --policy random|round-robin|pollenyoke, --scenario steady|burst|hot-team|slow-engine|
#   engine-dies|planned-stop|poison|silent-connections|log-down|entry-killed|agents-killed|
#   engine-killed|entry-paused|agents-paused|engine-paused|entry-leaves|listed-leaving|
#   poison-copies|capacity|overload, --rate R, --requests N, --seed N, --deadline-ms N, --no-build.
#   `capacity` and `overload` run without prefix caches at 0.9 and 1.8 times what the engines can do,
#   with deadlines of 2 s.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=Tools/lib.sh
source Tools/lib.sh

policy=pollenyoke scenario=steady rate=60 requests=1500 seed=1 build=1 deadline_ms=20000
while [ $# -gt 0 ]; do
  case $1 in
    --policy) policy=$2 ;;
    --scenario) scenario=$2 ;;
    --rate) rate=$2 ;;
    --requests) requests=$2 ;;
    --seed) seed=$2 ;;
    --deadline-ms) deadline_ms=$2 ;;
    --no-build) build=0; shift; continue ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
  esac
  shift 2
done

stop_all_on_exit
[ "$build" -eq 0 ] || build_release
make_work_directory
# 9 engines x 4 slots at about 40 + 15 x 10 x 1.06 ms per answer: 180 requests/s at capacity.
"$bench" layout "--out=$work/fleet" --entries=3 --engines=9 --services=3 --slots=4 \
  "--daemon=$daemon" "--requests-policy=$policy" \
  '--engine-faults={"first_token_ms":40,"token_ms":10,"cache_blocks":64,"restart_ms":1000}' \
  '--service-faults={"delay_ms":10}'
second_of() { fleet_value "[.hosts[] | select(.kind == \"$1\")][1].host"; }
entry=$(second_of entry) victim=$(second_of engine) service=$(second_of service)
case $scenario in
  engine-killed | engine-paused) separate_stand_in "backend-$victim" ;;
esac
start_fleet
make_release v1 --version=v1 --bytes=1000000
publish v1 || die "the release note was not accepted"
"$bench" wait "--fleet=$work/fleet/fleet.json" --version=v1 --timeout=60 >/dev/null ||
  die "not all engines serve"
sleep 2

load() { "$bench" load "--fleet=$work/fleet/fleet.json" "--seed=$seed" "--deadline-ms=$deadline_ms" "$@"; }

mapfile -t engines < <(fleet_value '.hosts[] | select(.kind == "engine") | "backend-" + .host')
fault_all_engines() {
  local engine
  for engine in "${engines[@]}"; do fault "$engine" "$1"; done
}
fault_all_links() {
  local link
  for link in $(fleet_value '.links[].name'); do fault "$link" "$1"; done
}
# The added latency is measured in the steady scenario, without the prefix cache and with fast engines,
# so that they take the same time for each first token and nothing queues, and without the delay
# between regions, which a direct call does not have; at 14 and at 140 requests/s per entry.
measure_added_latency() {
  local kind=("--tokens=2" "--prefixes=100000")
  fault_all_engines '{"cache_blocks":0,"first_token_ms":5,"token_ms":5}'
  fault_all_links '{"delay_ms":0}'
  load "${kind[@]}" --requests=200 --rate=42 --run=direct-14 --direct >"$work/direct-14.json"
  load "${kind[@]}" --requests=200 --rate=42 --run=entry-14 >"$work/entry-14.json"
  load "${kind[@]}" --requests=1500 --rate=420 --run=direct-140 --direct >"$work/direct-140.json"
  load "${kind[@]}" --requests=1500 --rate=420 --run=entry-140 >"$work/entry-140.json"
  fault_all_engines '{"cache_blocks":64,"first_token_ms":40,"token_ms":10}'
  fault_all_links '{"delay_ms":2}'
}
[ "$scenario" != steady ] || measure_added_latency
save_counters before

teams=big:6,small-a:1,small-b:1
options=()
service_fraction=0.2
case $scenario in
  burst) options+=(--burst=4) ;;
  hot-team)
    teams=big:30,small-a:1,small-b:1
    rate=$((rate * 5)) ;;
  capacity | overload)
    # 36 slots at about 0.2 s per answer are 180 model requests/s, with the services 225 in all.
    rate=203 requests=2436 deadline_ms=2000 service_fraction=0.2
    [ "$scenario" = capacity ] || { rate=$((2 * rate)); requests=$((2 * requests)); }
    options+=(--prefixes=100000 --threads=2048)
    fault_all_engines '{"cache_blocks":0}' ;;
  poison)
    options+=(--poison=3)
    fault_all_engines '{"crash_on":"crash-the-engine"}' ;;
  poison-copies)
    options+=(--poison=3 --copies=3)
    fault_all_engines '{"crash_on":"crash-the-engine"}' ;;
  *-killed | *-paused)
    # Half of the requests have a key, and each of those is sent through two entries at once.
    service_fraction=0.5
    options+=(--copies=2) ;;
  entry-leaves | listed-leaving) service_fraction=0.5 ;;
esac

# Runs at the backend servers of the hosts that are listed as leaving, by the counters in a file.
runs_of_victims() {
  jq --arg a "backend-$victim" --arg b "backend-$service" '[.[$a, $b].runs | add // 0] | add' "$work/$1.json"
}

# Runs beside the load; faults come when a quarter of the requests is under way.
inject_fault() {
  local name
  sleep "$(jq -n "$requests / $rate / 4")"
  case $scenario in
    slow-engine) fault "backend-$victim" '{"first_token_ms":400,"token_ms":60}' ;;
    engine-dies) fault "backend-$victim" '{"crash":true}' ;;
    planned-stop) stop_again "$victim" ;;
    silent-connections) fault_all_links '{"silence_open":true}' ;;
    log-down)
      fault log '{"down":true}'
      sleep "$(jq -n "$requests / $rate / 3")"
      fault log '{"down":false}' ;;
    entry-killed) stop "$entry" KILL ;;
    agents-killed)
      for name in "$victim" "$service"; do stop "$name" KILL; done
      sleep 2
      for name in "$victim" "$service"; do start_host "$name"; done ;;
    engine-killed)
      stop "backend-$victim" KILL
      sleep 1
      start_stand_in "backend-$victim" ;;
    entry-paused)
      pause "$entry"
      sleep 4
      resume "$entry" ;;
    agents-paused)
      # Dropped from the host list, so that others take what they hold, and continued after that.
      for name in "$victim" "$service"; do pause "$name"; done
      for name in "$victim" "$service"; do list_host "$name" gone; done
      sleep 6
      for name in "$victim" "$service"; do resume "$name"; done
      sleep 1
      relist_hosts ;;
    engine-paused)
      pause "backend-$victim"
      sleep 4
      resume "backend-$victim" ;;
    entry-leaves) stop_again "$entry" ;;
    listed-leaving)
      for name in "$victim" "$service"; do list_host "$name" leaving; done
      # The bound of the design (I5). A later snapshot makes the check weaker, never wrong.
      sleep 3
      save_counters leaving ;;
  esac
}

say "scenario $scenario, policy $policy"
load "--rate=$rate" "--requests=$requests" "--service-fraction=$service_fraction" --batch-fraction=0.2 \
  "--teams=$teams" "--run=$scenario" "--record=$work/records.jsonl" "${options[@]}" --progress >"$work/load.json" &
pid_of[load]=$!
load_pid=${pid_of[load]}
inject_fault
wait "$load_pid" || die "the load tool failed"
unset "pid_of[load]"

status=0
save_counters after
"$bench" report requests "--fleet=$work/fleet/fleet.json" "--load=$work/load.json" \
  "--before=$work/before.json" "--record=$work/records.jsonl" >"$work/report.json" || status=$?
added() {
  [ "$scenario" = steady ] || { echo null; return; }
  jq -n --slurpfile a "$work/direct-$1.json" --slurpfile b "$work/entry-$1.json" \
  --arg part "$2" '"first_token_" + $part + "_ms" | $b[0][.] - $a[0][.]'
}
new_work=null
[ "$scenario" != listed-leaving ] || new_work=$(($(runs_of_victims after) - $(runs_of_victims leaving)))
jq -c --argjson new_work "$new_work" --arg policy "$policy" --arg scenario "$scenario" --argjson low "$(added 14 p95)" \
  --argjson high "$(added 140 p95)" --argjson low_median "$(added 14 p50)" \
  --argjson high_median "$(added 140 p50)" \
  '{policy:$policy,scenario:$scenario,added_p95_ms_at_14:$low,added_p95_ms_at_140:$high,
    added_p50_ms_at_14:$low_median,added_p50_ms_at_140:$high_median,
    runs_after_leaving:$new_work} + .' \
  "$work/report.json"
exit "$status"
