#!/usr/bin/env bash
# Formats all sources. With --check, changes nothing and fails if a source is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files 'modules/*.?pp' 'programs/*.?pp' 'tests/*.?pp' 'benchmarks/*.?pp' 'platform/*.?pp')
if [ "${1:-}" = --check ]; then
    clang-format --dry-run --Werror "${sources[@]}"
else
    clang-format -i "${sources[@]}"
fi
