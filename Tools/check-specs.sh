#!/usr/bin/env bash
# Checks the Spin models in Spec: the correct form of each must hold with a complete search, and each
# variant that the model lists as BROKEN_* must be rejected. Prints a table of figures.
set -euo pipefail
cd "$(dirname "$0")/.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# Verifies one form of a model and prints "errors states depth seconds"; errors is "incomplete" when
# the search did not end. pan's exit status does not tell errors, so that its output is read.
verify() {
  local model=$1 macro=$2 dir="$work/$(basename "$1" .pml)-$2" output
  mkdir -p "$dir"
  (cd "$dir" && spin "-D$macro" -a "$model" >spin.out 2>&1 &&
    gcc -O2 -w -DSAFETY -DMEMLIM=2048 -o pan pan.c) || { cat "$dir/spin.out" >&2; echo "failed 0 0 0"; return; }
  output=$(cd "$dir" && ./pan -m100000 2>&1) || true
  local errors states depth seconds
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' <<<"$output")
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' <<<"$output" | head -1)
  depth=$(sed -n 's/.*depth reached \([0-9]*\),.*/\1/p' <<<"$output")
  seconds=$(sed -n 's/.*elapsed time \([0-9.e-]*\) seconds.*/\1/p' <<<"$output")
  # Of a search that ends with an error, only the error counts.
  if grep -qE 'max search depth too small|reached -DMEMLIM|out of memory' <<<"$output" ||
    { [ "${errors:-x}" = 0 ] && grep -q 'Search not completed' <<<"$output"; }; then
    errors=incomplete
  fi
  echo "${errors:-failed} ${states:-0} ${depth:-0} ${seconds:-0}"
}

export -f verify
export work

# Compiling the verifiers takes most of the time; two run at a time.
for model in "$PWD"/Spec/*.pml; do
  for form in CORRECT $(sed -n 's/^ \* \(BROKEN_[A-Z_]*\) .*/\1/p' "$model"); do
    printf '%s\0%s\0' "$model" "$form"
  done
done >"$work/forms"
xargs -0 -n 2 -P 2 bash -c 'verify "$1" "$2" >"$work/$(basename "$1" .pml)-$2.result"' _ <"$work/forms"

failed=0
printf '%-14s %-18s %-9s %10s %6s %8s\n' model form result states depth seconds
while IFS= read -r -d '' model && IFS= read -r -d '' form; do
  name=$(basename "$model" .pml)
  read -r errors states depth seconds <"$work/$name-$form.result"
  result=$errors
  case "$form:$errors" in
    CORRECT:0) result=holds ;;
    CORRECT:* | *:0 | *:failed | *:incomplete) failed=1; result="FAILED($errors)" ;;
    *) result=rejected ;;
  esac
  printf '%-14s %-18s %-9s %10s %6s %8s\n' "$name" "$form" "$result" "$states" "$depth" "$seconds"
done <"$work/forms"
for model in Spec/*.pml; do
  if ! grep -q '^ \* BROKEN_' "$model"; then
    echo "$model: no broken variant is listed" >&2
    failed=1
  fi
done
exit $failed
