#!/usr/bin/env bash
# Builds one CMake preset: release (the default), address or thread (sanitizers).
set -euo pipefail
cd "$(dirname "$0")/.."
preset="${1:-release}"
cmake --preset "$preset" >"/tmp/carawayshelf-configure.$$" 2>&1 || {
    cat "/tmp/carawayshelf-configure.$$"
    exit 1
}
rm -f "/tmp/carawayshelf-configure.$$"
cmake --build "build/$preset"
