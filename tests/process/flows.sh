#!/usr/bin/env bash
# Checks with real processes that open flows stay whole. Prints the events and the result of each run,
# and exits with 1 if a guarantee was broken. Run by CI.
#
#   tests/process/flows.sh [FIRST_SEED LAST_SEED]    with seeds: runs the scenarios drawn by each
set -uo pipefail
cd "$(dirname "$0")/../.."
: "${CLUSTER_BUILD:=$PWD/build/release}"
test_program="$CLUSTER_BUILD/tests/flow_continuity"
failed=0
network=80

# start_run NAME FLAGS...: starts a run in the background, on loopback addresses of its own.
declare -A run_pid=() run_output=()
start_run() {
    local name="$1"
    shift
    network=$((network + 1))
    run_output[$name]="$(mktemp)"
    "$test_program" "--program=$CLUSTER_BUILD/carawayshelf" "--network=$network" "$@" \
        >"${run_output[$name]}" 2>&1 &
    run_pid[$name]=$!
}

# finish_runs: waits for the runs that were started, and prints their outputs.
finish_runs() {
    local name
    for name in "${!run_pid[@]}"; do
        wait "${run_pid[$name]}" || failed=1
        echo "== $name"
        cat "${run_output[$name]}"
        rm -f "${run_output[$name]}"
    done
    run_pid=()
}
trap 'kill $(jobs -p) 2>/dev/null' EXIT

if [ "$#" -eq 2 ]; then
    for ((seed = $1; seed <= $2; ++seed)); do
        start_run "seed $seed" "--seed=$seed"
        [ "${#run_pid[@]}" -lt 4 ] || finish_runs
    done
    finish_runs
    exit "$failed"
fi

# Short flows at full servers, so that opening packets are queued and refused, while balancers are
# restarted and some opening packets arrive late.
start_run refused_openings --scenario=balancer-roll --balancers=6 --flows=700 --flow_seconds=3 \
    --pause_seconds=0.8 --late_copies=0.03
# Servers that return opening packets, some of which the network delays, while balancers are restarted.
start_run late_openings --scenario=balancer-roll --balancers=6 --flows=220 --flow_seconds=3 \
    --pause_seconds=0.8 --max_flows=20 --late_copies=0.1 --late_packets=0.1
# An agent is frozen, and another is down for 6 s, beside live servers, while balancers are restarted.
start_run unreachable_agents --scenario=agent-freeze,agent-down,balancer-roll --seed=3
# Servers that leave live on for a while after they have announced their departure, with idle flows.
start_run departing_servers --scenario=release,scale-in --services=despacho:7,vitrina:3 --balancers=7 \
    --client_domains --flows=600 --short_flows=0.05 --pause_seconds=10 --exit_delay_seconds=3
# A backend server ends without an announcement, beside agents and balancers that are restarted.
start_run ended_server --all_scenarios --seed=14 --services=despacho:7,vitrina:3 --balancers=7 \
    --client_domains --flows=330 --short_flows=0.25 --pause_seconds=4 --exit_delay_seconds=1
finish_runs
exit "$failed"
