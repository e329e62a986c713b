#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review into build/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
build() { g++ -std=c++20 -O1 -pthread -o "build/review-2/$2" "review/$1/case.cpp"; }
build 7 continued-stream
