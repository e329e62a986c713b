# Runs of pollenyoke-emulator for the scripts that draw faults from seeds. Sourced after lib.sh.

# shellcheck disable=SC2034  # used by the scripts that source this file
seed=$((RANDOM * 32768 + RANDOM)) seeds=1 duration=60 processes=9 jobs=4 build=1
plan=mixed node="$repo/build/release/bin/pollenyoke-node" templates="$repo/deploy"
emulator="$bin/Emulator/pollenyoke-emulator"

# read_soak_option NAME VALUE: takes one of the options that all of these scripts have; sets `taken` to the number of
# words.
read_soak_option() {
  taken=2
  case $1 in
    --seed) seed=$2 ;;
    --seeds) seeds=$2 ;;
    --duration) duration=$2 ;;
    --processes) processes=$2 ;;
    --jobs) jobs=$2 ;;
    --node) node=$2 ;;
    --templates) templates=$2 ;;
    --no-build) build=0 taken=1 ;;
    *) die "unknown option $1; see the head of $0" ;;
  esac
}

build_emulator() { [ "$build" -eq 0 ] || { say "soak: installing and building"; build_release; }; }

# Lines of SEED DURATION PROCESSES.
list_seeds() {
  for ((i = 0; i < seeds; ++i)); do echo "$((seed + i)) $duration $processes"; done
}

# run_soak SEED DURATION PROCESSES: one run, with its report in the work directory.
run_soak() {
  local seed=$1 duration=$2 processes=$3 status=0 dir="$work/seed-$1-$3"
  mkdir -p "$dir"
  "$emulator" soak --plan "$plan" --seed "$seed" --duration "$duration" --processes "$processes" --work "$dir" \
    --node "$node" --templates "$templates" --log-level info >"$dir/emulator.log" 2>&1 || status=$?
  tail -1 "$dir/emulator.log" >"$dir/report.json"
  echo "seed $seed: $(<"$dir/report.json")" >&2
  # The logs of a run without a finding are not needed.
  if [ "$status" -eq 0 ]; then rm -f "$dir"/*.log "$dir"/*.yaml; else echo "seed $seed: logs are in $dir" >&2; fi
  [ "$status" -le 1 ] || [ "$status" -eq 77 ] || { tail -3 "$dir/emulator.log" >&2; echo "$seed" >>"$work/failed"; }
}

# Runs the lines of standard input.
run_soaks() {
  export -f run_soak
  export work emulator repo plan node templates
  xargs -P "$jobs" -L 1 bash -c 'run_soak "$@"' _
}

# finish_soaks FILTER: prints the summary that the jq filter makes of all reports, and ends the script: 1 if a promise
# was broken, 77 if the machine could not keep up with any run.
finish_soaks() {
  local summary
  summary=$(cat "$work"/seed-*/report.json | grep '^{' | jq -sc "{seed: (map(.seed) | min), runs: length,
    passed: (map(select(.verdict == \"passed\")) | length), not_run: (map(select(.verdict == \"not run\")) | length),
    requests: (map(.requests) | add), served: (map(.served) | add)} + ($1) + {
    violations: (map(select(.verdict == \"violated\") | .violations) | add // 0),
    first_violation: (map(select(.verdict == \"violated\")) | .[0] |
      if . then \"seed \(.seed): \(.first_violation)\" else null end)}")
  echo "$summary"
  [ ! -e "$work/failed" ] || die "runs that could not be made: $(paste -sd ' ' "$work/failed")"
  [ "$(jq .violations <<<"$summary")" -eq 0 ] || exit 1
  [ "$(jq .passed <<<"$summary")" -gt 0 ] || exit 77
  rm -rf "$work"
}
