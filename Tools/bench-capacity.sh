#!/usr/bin/env bash
# Measures what control and requests cost a process, over several sizes, and fits straight lines.
# Prints one JSON line per point and per fit. CPU is read from /proc and does not count waiting.
# Options: --sizes "8 16 32 64" ("" skips the idle fleets), --seconds N (idle sample), --no-build,
# --members "60 125 250 500" (members of one failure domain in one process, "" skips them),
# --members-only
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=Tools/lib.sh
source Tools/lib.sh

sizes="8 16 32 64" seconds=15 build=1 members="60 125 250 500" members_only=0
while [ $# -gt 0 ]; do
  case $1 in
    --sizes) sizes=$2; shift ;;
    --seconds) seconds=$2; shift ;;
    --no-build) build=0 ;;
    --members) members=$2; shift ;;
    --members-only) members_only=1 ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
  esac
  shift
done
[ "$build" -eq 0 ] || build_release
stop_all_on_exit
ticks=$(getconf CLK_TCK)

# sample FILE: host, role, CPU seconds, resident MB and traffic bytes of every process.
sample() {
  local host role admin pid cpu rss
  while read -r host role admin; do
    pid=${pid_of[$host]}
    cpu=$(awk -v t="$ticks" '{print ($14 + $15) / t}' "/proc/$pid/stat")
    rss=$(awk '/VmRSS/ {print $2 / 1024}' "/proc/$pid/status")
    "$ctl" dump "$admin" | jq -c --arg role "$role" --argjson cpu "$cpu" --argjson rss "$rss" \
      '{host, role: $role, cpu: $cpu, rss: $rss,
        bytes: (.traffic.bytes_sent + .traffic.bytes_received)}'
  done < <(fleet_value '.hosts[] | .host + " " + (.kind // "entry") + " " + .admin') >"$1"
}

# compare BEFORE AFTER SECONDS: means per role over all its processes.
compare() {
  jq -cn --slurpfile a "$1" --slurpfile b "$2" --argjson s "$3" '
    [$a, $b] | transpose | map({role: .[0].role, cpu: ((.[1].cpu - .[0].cpu) / $s),
      rss: .[1].rss, bytes: ((.[1].bytes - .[0].bytes) / $s)}) | group_by(.role)
    | map({role: .[0].role, processes: length, cpu_percent: (100 * (map(.cpu) | add / length)),
      rss_mb: (map(.rss) | add / length), bytes_per_s: (map(.bytes) | add / length),
      max_bytes_per_s: (map(.bytes) | max)})[]'
}

start_sized_fleet() {
  make_work_directory
  "$bench" layout "--out=$work/fleet" --entries=3 "--engines=$1" --services=3 "--daemon=$daemon" \
    '--engine-faults={"first_token_ms":5,"token_ms":2}'
  start_fleet
  make_release v1 --version=v1 --bytes=1000000
  publish v1 || die "the release note was not accepted"
  "$bench" wait "--fleet=$work/fleet/fleet.json" --version=v1 --timeout=120 >/dev/null 2>&1 ||
    die "not all engines serve"
  sleep 5
}

end_fleet() {
  stop_all
  rm -rf "$work"
}

# fit X Y: least squares over the JSON points on standard input, per role.
fit() {
  jq -cs --arg x "$1" --arg y "$2" 'group_by(.role)[] | . as $p | length as $n
    | (map(.[$x]) | add / $n) as $mx | (map(.[$y]) | add / $n) as $my
    | (map((.[$x] - $mx) * (.[$x] - $mx)) | add) as $sxx
    | (map((.[$x] - $mx) * (.[$y] - $my)) | add) as $sxy
    | (if $sxx > 0 then $sxy / $sxx else 0 end) as $slope
    | {fit: $y, over: $x, role: $p[0].role, slope: $slope, at_zero: ($my - $slope * $mx)}'
}

points=$(mktemp)
if [ -n "$members" ]; then
  say "control plane, members in one process"
  for count in $members; do
    "$bin/Bench/pollenyoke-members" "--count=$count" --settle=20 --seconds=60 2>/dev/null | grep "^{" |
      tee -a "$points"
  done
  for value in cpu_percent rss_mb bytes_per_s max_bytes_per_s root_bytes_per_s delay_ms_max; do
    fit members "$value" <"$points"
  done
  say "control plane, one member with a host list of the design size"
  for listed in 500 1000 2000 3730; do
    "$bin/Bench/pollenyoke-members" --count=1 "--listed=$listed" --settle=2 --seconds=10 2>/dev/null | grep "^{"
  done | tee "$points"
  fit listed rss_mb <"$points"
  say "control plane, one member with a fold of up to two days"
  for folded in 2500 5000 10000 20000; do
    "$bin/Bench/pollenyoke-members" --count=1 "--folded=$folded" --settle=8 --seconds=5 2>/dev/null | grep "^{"
  done | tee "$points"
  fit folded rss_mb <"$points"
  : >"$points"
fi
if [ "$members_only" -ne 0 ]; then rm -f "$points"; exit 0; fi
for size in $sizes; do
  say "idle fleet with $size engines"
  start_sized_fleet "$size"
  sample "$work/a"; sleep "$seconds"; sample "$work/b"
  compare "$work/a" "$work/b" "$seconds" | jq -c --argjson n "$size" '{point: "idle", engines: $n} + .' |
    tee -a "$points"
  end_fleet
done
if [ -n "$sizes" ]; then
  for value in cpu_percent rss_mb bytes_per_s; do fit engines "$value" <"$points"; done
fi

: >"$points"
say "configuration changes"
start_sized_fleet 16
for count in 50 100 200 400; do
  sample "$work/a"; begin=$(now_ms)
  for ((i = 0; i < count; i++)); do
    "$bench" call POST "$(fleet_value .log)" /streams/fleet/records \
      "{\"id\":\"c$count-$i\",\"kind\":\"config\",\"key\":\"limit-$((i % 20))\",\"value\":\"$i\"}" >/dev/null
  done
  sleep 3; sample "$work/b"
  compare "$work/a" "$work/b" 1 | jq -c --argjson n "$count" --argjson ms "$(($(now_ms) - begin))" '
    {point: "config", changes: $n, seconds: ($ms / 1000), role, cpu_s: (.cpu_percent / 100),
     bytes: .bytes_per_s}' | tee -a "$points"
done
fit changes cpu_s <"$points"
fit changes bytes <"$points"

# load_point POINT REQUESTS TOKENS: CPU seconds per process for requests at 50/s.
load_point() {
  sample "$work/a"
  "$bench" load "--fleet=$work/fleet/fleet.json" --rate=50 "--requests=$2" "--tokens=$3" \
    "--run=$1-$2-$3" >"$work/load.json"
  sample "$work/b"
  compare "$work/a" "$work/b" 1 | jq -c --arg point "$1" --argjson n "$2" --argjson t "$3" \
    --argjson whole "$(jq .whole "$work/load.json")" '
    {point: $point, whole: $whole, role, requests: ($n / .processes),
     tokens: ($n * $t / .processes), cpu_s: (.cpu_percent / 100), bytes: .bytes_per_s}' |
    grep -v '"service"' | tee -a "$points"
}

: >"$points"
say "requests"
for count in 100 200 400 800; do load_point requests "$count" 16; done
fit requests cpu_s <"$points"
fit requests bytes <"$points"

: >"$points"
say "tokens"
for tokens in 8 16 32 64; do load_point tokens 200 "$tokens"; done
fit tokens cpu_s <"$points"
end_fleet
rm -f "$points"
