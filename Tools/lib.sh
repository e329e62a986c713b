# Functions of the scripts that start test fleets. Sourced with `set -euo pipefail` in effect.
# Every process that is started here is stopped by its process id.

repo="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
bin="$repo/build/release/Source"
standins="$bin/StandIns/pollenyoke-standins"
bench="$bin/Bench/pollenyoke-bench"
# shellcheck disable=SC2034  # used by the scripts that source this file
daemon="$bin/Daemon/pollenyoked"
ctl="$bin/Ctl/pollenyokectl"

declare -A pid_of=()
work=""

say() { echo "$(date +%T) $*" >&2; }

die() {
  say "error: $*"
  exit 1
}

# Directory for settings, logs and results of one run; removed when the run succeeds.
make_work_directory() {
  work="$(mktemp -d "${TMPDIR:-/tmp}/pollenyoke.XXXXXX")"
}

# start NAME COMMAND...: starts a process with its output in $work/logs/NAME.log.
start() {
  local name=$1
  shift
  mkdir -p "$work/logs"
  "$@" >"$work/logs/$name.log" 2>&1 &
  pid_of[$name]=$!
}

is_running() {
  [ -n "${pid_of[$1]:-}" ] && kill -0 "${pid_of[$1]}" 2>/dev/null
}

# stop NAME [SIGNAL]: sends the signal (default TERM) and waits for the end.
stop() {
  local name=$1 signal=${2:-TERM} pid=${pid_of[$1]:-}
  [ -n "$pid" ] || return 0
  unset "pid_of[$name]"
  kill -"$signal" "$pid" 2>/dev/null || return 0
  wait "$pid" 2>/dev/null || true
}

# stop_again NAME: a planned stop with two signals, as platforms send them.
stop_again() {
  local pid=${pid_of[$1]:-}
  [ -z "$pid" ] || { kill -TERM "$pid" && sleep 0.3; } 2>/dev/null || true
  stop "$1"
}

# pause NAME, resume NAME: stops and continues a process without its knowledge.
pause() { kill -STOP "${pid_of[$1]}"; }
resume() { kill -CONT "${pid_of[$1]}"; }

# start_host NAME: starts a host of the layout, also again after its end.
start_host() {
  local command
  command=$(awk -F '\t' -v name="$1" '$1 == name { print $2 }' "$work/fleet/commands.txt")
  # shellcheck disable=SC2086  # the command is a list of words
  start "$1" $command
}

# start_stand_in NAME: starts a stand-in that separate_stand_in took out of the common process.
start_stand_in() { start "$1" "$standins" fleet "--config=$work/fleet/$1.json"; }

# separate_stand_in NAME: the stand-in gets a process of its own, which signals can reach. Called
# before start_fleet.
separate_stand_in() {
  local all="$work/fleet/standins.json"
  jq --arg name "$1" '{standins: [.standins[] | select(.name == $name)]}' "$all" >"$work/fleet/$1.json"
  jq --arg name "$1" '{standins: [.standins[] | select(.name != $name)]}' "$all" >"$all.rest"
  mv "$all.rest" "$all"
  start_stand_in "$1"
  wait_until 20 "$1" grep -q '^ready' "$work/logs/$1.log"
}

# list_host NAME STATE: changes one host in the host list; relist_hosts restores the first list.
list_host() {
  "$bench" call PUT "$(fleet_value .host_list)" "/hosts/$1" "{\"state\":\"$2\"}" >/dev/null
}
relist_hosts() {
  "$bench" call PUT "$(fleet_value .host_list)" /hosts "$(<"$work/fleet/hosts.json")" >/dev/null
}

# Ends all that was started. KILL is enough: no process keeps state on this machine.
stop_all() {
  local name pids=()
  for name in "${!pid_of[@]}"; do
    pids+=("${pid_of[$name]}")
  done
  pid_of=()
  [ ${#pids[@]} -gt 0 ] || return 0
  kill -KILL "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
}

on_exit() {
  local status=$?
  stop_all
  if [ "$status" -eq 0 ] && [ -z "${KEEP_WORK:-}" ]; then
    [ -z "$work" ] || rm -rf "$work"
  else
    say "logs and results are in $work"
  fi
  exit "$status"
}

# Installs the signal and exit handlers of a script.
stop_all_on_exit() {
  trap on_exit EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

# wait_until SECONDS WHAT COMMAND...: repeats a command until it succeeds.
wait_until() {
  local limit=$1 what=$2 end=$((SECONDS + $1))
  shift 2
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || die "$what: not within $limit s"
    sleep 0.2
  done
}

port_is_open() { (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; }

build_release() {
  bash "$repo/Tools/install-packages.sh"
  (cd "$repo" && cmake --preset release >/dev/null && cmake --build --preset release | tail -1) >&2
}

fleet_value() { jq -r "$1" "$work/fleet/fleet.json"; }

now_ms() { date +%s%3N; }

# start_fleet: starts the stand-ins and all hosts of the layout in $work/fleet.
start_fleet() {
  local name address
  start standins "$standins" fleet "--config=$work/fleet/standins.json"
  wait_until 20 "stand-ins" grep -q '^ready' "$work/logs/standins.log"
  while IFS=$'\t' read -r name _; do
    start_host "$name"
  done <"$work/fleet/commands.txt"
  while read -r name address; do
    wait_until 30 "$name" port_is_open "$address"
    is_running "$name" || die "$name ended; see $work/logs/$name.log"
  done < <(fleet_value '.hosts[] | .host + " " + .admin')
}

fault() { "$bench" fault "--fleet=$work/fleet/fleet.json" "$1" "$2" >/dev/null; }

# make_release NAME OPTIONS...: writes $work/NAME.json and the note $work/NAME.yaml.
make_release() {
  local name=$1
  shift
  "$bench" release "--fleet=$work/fleet/fleet.json" "--out=$work/$name.yaml" "$@" >"$work/$name.json"
}

publish() { "$ctl" publish "$work/$1.yaml" --log "$(fleet_value .log)" --json >"$work/publish-$1.json"; }

save_counters() { "$bench" counters "--fleet=$work/fleet/fleet.json" >"$work/$1.json"; }
