#!/usr/bin/env bash
# Measures the spread of one release over real agents and scaled links. In a window W the origin
# carries 4 copies of the release, each host 2, and the link between two regions 2, as with the
# reference of 375 MB in 240 s and 25 Mbit/s between regions. Ends with one line of JSON. Control
# traffic per chunk does not shrink with the scale, so region_link_copies is higher in small runs: at
# 8 hosts 1.045 with 12 MB and 1.019 with the reference size.
#
# Options: --hosts N, --policy origin-only|tree|pollenyoke, --goal time|origin-bytes,
#   --fault none|host-dies|link-stalls|corrupt|version-change|log-down|origin-slow|region-cut|
#     holder-paused|agents-restart|agents-restart-after|store-down|origin-busy|region-cut-60|late-host,
#   --bytes N and --window SECONDS (the scale), --chunk-bytes N,
#   --timeout SECONDS, --no-build
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=Tools/lib.sh
source Tools/lib.sh

hosts=32 policy=pollenyoke goal=time fault=none bytes=12000000 window=12 timeout=300 build=1
chunk_bytes=32768
while [ $# -gt 0 ]; do
  case $1 in
    --hosts) hosts=$2 ;;
    --policy) policy=$2 ;;
    --goal) goal=$2 ;;
    --fault) fault=$2 ;;
    --bytes) bytes=$2 ;;
    --window) window=$2 ;;
    --timeout) timeout=$2 ;;
    --chunk-bytes) chunk_bytes=$2 ;;
    --no-build) build=0; shift; continue ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
  esac
  shift 2
done

stop_all_on_exit
[ "$build" -eq 0 ] || build_release
make_work_directory
origin_rate=$((4 * bytes / window))
entries=1 limit=1.5 layout_options=()
case $fault in
  # A second copy is read after the loss of all agents, which the default limit does not allow.
  agents-restart) limit=3 ;;
  store-down) layout_options+=(--store) ;;
  region-cut-60) entries=3 ;;
esac
"$bench" layout "--out=$work/fleet" "--entries=$entries" "${layout_options[@]}" "--engines=$hosts" --services=0 \
  "--daemon=$daemon" "--host-rate=$((2 * bytes / window))" "--origin-rate=$origin_rate" \
  "--region-rate=$((2 * bytes / window))" "--goal=$goal" "--policy=$policy"
say "starting $hosts agents"
start_fleet
# Membership settles before the release, as in a fleet that has been running.
sleep 3

mapfile -t engines < <(fleet_value '.hosts[] | select(.kind == "engine") | .host')
mapfile -t links < <(fleet_value '.links[].name')
# shellcheck disable=SC2016  # $r is a variable of jq
mapfile -t far_links < <(fleet_value '.regions[-1] as $r | .links[] | select(.a == $r or .b == $r) | .name')
expected=$hosts
measured=v1

wait_for_hosts() {
  "$bench" wait "--fleet=$work/fleet/fleet.json" "--version=$measured" "--since-ms=$since" \
    "--hosts=$1" "--timeout=$timeout"
}
restart_agents() {
  local host
  for host in "${engines[@]}"; do stop "$host" KILL; done
  for host in "${engines[@]}"; do start_host "$host"; done
}
# More records than the log keeps, slowly enough for the readers' checkpoints.
fill_log() {
  local i
  for i in {1..60}; do
    "$bench" call POST "$(fleet_value .log)" /streams/fleet/records \
      "{\"id\":\"fill-$i\",\"kind\":\"config\",\"key\":\"fill\",\"value\":\"$i\"}" >/dev/null
    sleep 0.25
  done
}
# Requests through all entries while the far region is cut for a minute.
cut_for_a_minute() {
  local link
  for link in "${far_links[@]}"; do fault "$link" '{"cut":true}'; done
  local end=$((SECONDS + 60))
  wait_for_hosts $((hosts / 3)) >/dev/null || die "no region serves"
  "$bench" load "--fleet=$work/fleet/fleet.json" --rate=10 "--requests=$((10 * (end - SECONDS)))" \
    --seed=1 "--record=$work/records.jsonl" >"$work/load.json"
  while [ "$SECONDS" -lt "$end" ]; do sleep 0.2; done
  for link in "${far_links[@]}"; do fault "$link" '{"cut":false}'; done
}

# Faults of agents.
inject_agent_fault() {
  case $fault in
    holder-paused)
      # Hosts of the store region hold the stripes. The others can only end once it is replaced.
      pause "${engines[0]}"
      wait_for_hosts $((hosts - 1)) >/dev/null || say "the paused holder was not replaced"
      resume "${engines[0]}" ;;
    agents-restart) restart_agents ;;
    agents-restart-after)
      wait_for_hosts "$hosts" >/dev/null || say "not all hosts serve before the restart"
      restart_agents ;;
    late-host)
      wait_for_hosts $((hosts - 1)) >/dev/null || say "not all hosts serve before the new one"
      fill_log
      "$bench" call GET "$(fleet_value .log)" "/streams/fleet/records?from=1&max=1&wait_ms=0" >&2 &&
        die "the log still has its first record"
      start_host "${engines[-1]}"
      relist_hosts ;;
    *) die "unknown fault $fault" ;;
  esac
}

# A third of the smallest time in which a host can receive the release.
inject_fault() {
  sleep "$(jq -n "$window / 6")"
  say "fault: $fault"
  case $fault in
    host-dies)
      stop "${engines[0]}" KILL
      list_host "${engines[0]}" gone
      expected=$((hosts - 1)) ;;
    link-stalls)
      fault "${links[0]}" '{"stall":true}'
      sleep "$(jq -n "$window / 3")"
      fault "${links[0]}" '{"stall":false}' ;;
    corrupt) fault origin '{"corrupt":5}' ;;
    version-change)
      make_release v2 --version=v2 "--bytes=$bytes" "--chunk-bytes=$chunk_bytes" --seed=2 --share-with=1 --share-fraction=0.5 --change
      since=$(now_ms)
      publish v2 || die "the second release note was not accepted"
      measured=v2 ;;
    log-down)
      fault log '{"down":true}'
      sleep "$(jq -n "$window / 2")"
      fault log '{"down":false}' ;;
    origin-slow) fault origin "{\"rate_bytes_per_s\":$((origin_rate / 4))}" ;;
    region-cut)
      for link in "${far_links[@]}"; do fault "$link" '{"cut":true}'; done
      sleep "$(jq -n "$window / 3")"
      for link in "${far_links[@]}"; do fault "$link" '{"cut":false}'; done ;;
    store-down) ;; # since before the release
    origin-busy)
      fault origin '{"busy":true}'
      sleep "$(jq -n "$window / 2")"
      fault origin '{"busy":false}' ;;
    region-cut-60) cut_for_a_minute ;;
    *) inject_agent_fault ;;
  esac
}

case $fault in
  store-down) fault store '{"down":true}' ;;
  late-host)
    fault log '{"retention":40}'
    stop "${engines[-1]}" KILL
    list_host "${engines[-1]}" gone
    sleep 3 ;;
esac
make_release v1 --version=v1 "--bytes=$bytes" "--chunk-bytes=$chunk_bytes" --seed=1 "--limit=$limit"
save_counters before
since=$(now_ms)
publish v1 || die "the release note was not accepted: $(cat "$work/publish-v1.json")"
say "published $bytes bytes for $hosts hosts"
[ "$fault" = none ] || inject_fault
wait_for_hosts "$expected" >"$work/wait.json" || say "not all hosts serve"

# Restarted agents serve what their engines hold and fetch it again after that.
[ "$fault" != agents-restart-after ] || sleep "$window"

status=0
"$bench" report distribution "--fleet=$work/fleet/fleet.json" "--release=$work/$measured.json" \
  "--wait=$work/wait.json" "--before=$work/before.json" >"$work/report.json" || status=$?
[ ! -e "$work/records.jsonl" ] ||
  "$bench" report requests "--fleet=$work/fleet/fleet.json" "--load=$work/load.json" \
    "--before=$work/before.json" "--record=$work/records.jsonl" >"$work/requests.json" || status=$?
[ -e "$work/requests.json" ] || echo null >"$work/requests.json"
jq -c --slurpfile requests "$work/requests.json" --arg policy "$policy" --arg goal "$goal" --arg fault "$fault" --argjson window "$window" \
  '{policy:$policy,goal:$goal,fault:$fault,window_s:$window,
    requests:$requests[0]} + .' "$work/report.json"
exit "$status"
