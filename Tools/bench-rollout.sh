#!/usr/bin/env bash
# Measures what a rollout costs live requests: the same requests once with and once without a new
# version that spreads and is loaded meanwhile, over the scaled links of bench-distribution.sh. Ends
# with one line of JSON; the exit status is 1 if an answer was wrong or not whole, or if the rollout
# did not complete.
#
# Options: --rate R, --requests N, --bytes N, --window SECONDS, --seed N, --no-build, --cache-blocks N
#   (0: engines without a prefix cache, so that the new version's empty cache does not count)
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=Tools/lib.sh
source Tools/lib.sh

rate=60 requests=1200 bytes=12000000 window=12 seed=1 build=1 cache_blocks=64
while [ $# -gt 0 ]; do
  case $1 in
    --rate) rate=$2 ;;
    --requests) requests=$2 ;;
    --bytes) bytes=$2 ;;
    --window) window=$2 ;;
    --seed) seed=$2 ;;
    --cache-blocks) cache_blocks=$2 ;;
    --no-build) build=0; shift; continue ;;
    *) echo "unknown option $1" >&2; exit 2 ;;
  esac
  shift 2
done

stop_all_on_exit
[ "$build" -eq 0 ] || build_release
make_work_directory
"$bench" layout "--out=$work/fleet" --entries=3 --engines=9 --services=3 --slots=8 \
  "--daemon=$daemon" "--host-rate=$((2 * bytes / window))" \
  "--origin-rate=$((4 * bytes / window))" "--region-rate=$((2 * bytes / window))" \
  "--engine-faults={\"first_token_ms\":40,\"token_ms\":10,\"cache_blocks\":$cache_blocks}"
start_fleet
sleep 3
make_release v1 --version=v1 --bytes=1000000 --seed=11
publish v1 || die "the first release note was not accepted"
"$bench" wait "--fleet=$work/fleet/fleet.json" --version=v1 --timeout=60 >/dev/null ||
  die "not all engines serve"
sleep 2

# measure NAME: the same load under another name, so that no answer is reused.
measure() {
  "$bench" load "--fleet=$work/fleet/fleet.json" "--seed=$seed" "--rate=$rate" \
    "--requests=$requests" "--run=$1" --versions=v1,v2 --service-fraction=0.2 >"$work/$1.json"
}

# Fills the prefix caches, so that both runs find them in the same state.
say "warm-up"
measure warm-up
say "without a rollout"
measure without
make_release v2 --version=v2 "--bytes=$bytes" --chunk-bytes=32768 --seed=12 --change
say "with a rollout of $bytes bytes"
since=$(now_ms)
publish v2 || die "the second release note was not accepted"
"$bench" wait "--fleet=$work/fleet/fleet.json" --version=v2 "--since-ms=$since" --timeout=120 \
  >"$work/wait.json" &
pid_of[wait]=$!
wait_pid=${pid_of[wait]}
measure with
status=0
wait "$wait_pid" || status=1
unset "pid_of[wait]"

jq -cn --slurpfile without "$work/without.json" --slurpfile with "$work/with.json" \
  --slurpfile wait "$work/wait.json" '
  def figures: {sent, whole, wrong, first_token_p50_ms, first_token_p95_ms, token_gap_p95_ms,
    service_p95_ms};
  {without: ($without[0] | figures), with: ($with[0] | figures), rollout: $wait[0],
   first_token_p95_ratio: ($with[0].first_token_p95_ms / $without[0].first_token_p95_ms),
   token_gap_p95_ratio: ($with[0].token_gap_p95_ms / $without[0].token_gap_p95_ms)}' |
  tee "$work/report.json"
jq -e '[.with, .without][] | .wrong == 0 and .whole == .sent' "$work/report.json" >/dev/null || status=1
exit "$status"
