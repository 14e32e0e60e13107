#!/usr/bin/env bash
# Checks with real processes that no acknowledged order is undone by an earlier one. Prints the result
# of each run, and exits with 1 if a guarantee was broken. Run by CI.
#
#   tests/process/orders.sh [FIRST_SEED LAST_SEED]
set -uo pipefail
cd "$(dirname "$0")/../.."
: "${CLUSTER_BUILD:=$PWD/build/release}"
first="${1:-1}"
last="${2:-4}"
parallel=4
failed=0
output="$(mktemp -d)"
trap 'kill $(jobs -p) 2>/dev/null; rm -rf "$output"' EXIT

# finish_runs: waits for the runs that were started, and prints their outputs.
declare -A run_pid=()
finish_runs() {
    local seed
    for seed in "${!run_pid[@]}"; do
        wait "${run_pid[$seed]}" || failed=1
        cat "$output/$seed"
    done
    run_pid=()
}

for ((seed = first; seed <= last; ++seed)); do
    "$CLUSTER_BUILD/tests/order_history" "--program=$CLUSTER_BUILD/carawayshelf" "--seed=$seed" \
        "--network=$((60 + seed % parallel))" >"$output/$seed" 2>&1 &
    run_pid[$seed]=$!
    [ "${#run_pid[@]}" -lt "$parallel" ] || finish_runs
done
finish_runs
exit "$failed"
