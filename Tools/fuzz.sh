#!/usr/bin/env bash
# Runs each fuzz target from a fixed seed for a bounded number of runs, and for at most SECONDS each
# (default 30). A fault leaves its input in build/fuzz/artifacts.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-30}
runs=${POLLENYOKE_FUZZ_RUNS:-300000}
cmake --preset fuzz >/dev/null
cmake --build --preset fuzz --target fuzz_targets -j 3 | tail -1
mkdir -p build/fuzz/artifacts
failed=0
for name in Frame ReleaseNote Manifest Settings LogRecord; do
  # New inputs go to a scratch directory, so that each run starts from the committed ones.
  scratch=$(mktemp -d)
  if output=$("build/fuzz/Source/Fuzz/Fuzz$name" -seed=20261204 -runs="$runs" \
    -max_total_time="$seconds" -timeout=5 -rss_limit_mb=1024 -max_len=8192 \
    -artifact_prefix="build/fuzz/artifacts/$name-" "$scratch" "Source/Fuzz/Corpus/$name" 2>&1); then
    echo "$name: no fault; $(grep -E '^Done' <<<"$output")"
  else
    failed=1
    echo "$name: FAULT"
    grep -E 'ERROR|SUMMARY|runtime error|Test unit written' <<<"$output" || tail -5 <<<"$output"
  fi
  rm -rf "$scratch"
done
exit $failed
