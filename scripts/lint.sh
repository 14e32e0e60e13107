#!/usr/bin/env bash
# Runs clang-tidy on all sources and prints its findings. Configures the release build if necessary.
set -uo pipefail
cd "$(dirname "$0")/.."
[ -f build/release/compile_commands.json ] || cmake --preset release >/dev/null || exit 1
mapfile -t sources < <(git ls-files 'modules/*.cpp' 'programs/*.cpp' 'tests/*.cpp' 'benchmarks/*.cpp' 'platform/*.cpp')
found="$(printf '%s\n' "${sources[@]}" |
    xargs -P "$(nproc)" -n 4 clang-tidy -p build/release --quiet 2>/dev/null |
    grep -E '(warning|error):' | sort -u)"
if [ -n "$found" ]; then
    echo "$found"
    exit 1
fi
echo "clang-tidy: clean"
