#!/usr/bin/env bash
# Checks formatting (clang-format) and runs clang-tidy on all sources, or on the given files.
# clang-tidy results are cached by the content of the preprocessed source, so that an unchanged file
# is not analysed again.
set -euo pipefail
cd "$(dirname "$0")/.."
cache="${XDG_CACHE_HOME:-$HOME/.cache}/pollenyoke-tidy"
mkdir -p "$cache"

if [ $# -gt 0 ]; then files=("$@"); else mapfile -t files < <(git ls-files -co --exclude-standard 'Source/*.cpp' 'platform/*.cpp'); fi
mapfile -t formatted < <(git ls-files -co --exclude-standard 'Source/*.cpp' 'Source/*.h' 'platform/*.cpp' 'platform/*.h')
clang-format --dry-run --Werror "${formatted[@]}"

tidy_one() {
  local file=$1 cache=$2 key
  key=$( { cat .clang-tidy "$file"; g++ -std=c++20 -I. -ISource -ISource/Core -E -P "$file" 2>/dev/null; } | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  local output options=()
  # Headers of the adapter lie outside Source, which .clang-tidy names.
  case "$file" in platform/*) options+=("--header-filter=.*/(Source|platform)/.*") ;; esac
  if output=$(clang-tidy --quiet "${options[@]}" -p build/release "$file" 2>&1); then
    touch "$cache/$key"
    return 0
  fi
  grep -E 'error:' <<<"$output" || echo "clang-tidy failed: $file"
  return 1
}
export -f tidy_one
printf '%s\0' "${files[@]}" | xargs -0 -P "$(nproc)" -I{} bash -c 'tidy_one "$1" "$2"' _ {} "$cache"
echo "lint: ${#formatted[@]} files formatted, ${#files[@]} sources analysed"
