#!/usr/bin/env bash
# Installs the Debian packages that building and testing need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang clang-format clang-tidy libclang-rt-14-dev jq procps
  libtbb-dev libcereal-dev libboost-dev libcpp-httplib-dev libdocopt-dev libeasyloggingpp-dev
  libexpected-dev libcppunit-dev libyaml-cpp-dev librapidcheck-dev libssl-dev nlohmann-json3-dev
  libxxhash-dev spin zlib1g-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
$sudo apt-get update -q
$sudo apt-get install -y -q --no-install-recommends "${missing[@]}"
