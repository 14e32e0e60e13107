#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need, unless they are all installed.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy
    libtbb-dev libflatbuffers-dev prometheus-cpp-dev libgflags-dev libspdlog-dev
    libssl-dev libboost-dev libboost-test-dev libcoap3-dev libxxhash-dev libzstd-dev nlohmann-json3-dev librapidcheck-dev libbenchmark-dev
)
missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f '${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done
if [ "${#missing[@]}" -gt 0 ]; then
    echo "installing: ${missing[*]}"
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
