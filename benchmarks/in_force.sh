#!/usr/bin/env bash
# Measures the time from an operator's edit to "in force everywhere" with 3 balancers and 8 agents,
# and the resident memory and processor time of idle daemons over ten seconds.
set -uo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/cluster.sh
source scripts/cluster.sh
trap cluster_end EXIT

cluster_begin
for i in 1 2 3; do cluster_control "$i"; done
cluster_until 20 cluster_do init --timeout_seconds=1 >/dev/null 2>&1
cluster_until 30 cluster_is_safe
for i in 1 2 3; do cluster_balancer "$i" cuyo-a; done
cluster_do catalogue put ordering --owner=hielo --class=critical --address=127.0.9.1:5683 >/dev/null
for i in 1 2 3 4 5 6 7 8; do
    cluster_agent "$i" "cuyo-$((i % 3 + 1))"
    cluster_server "$i" ordering
done
cluster_until 30 cluster_has_members 8

milliseconds() { echo $(($(date +%s%N) / 1000000)); }
for mode in --nowait --wait; do
    start="$(milliseconds)"
    for i in $(seq 1 20); do
        cluster_do catalogue put ordering "--server_queue=$((20 + i))" "$mode" >/dev/null || echo "edit $i failed"
    done
    echo "20 edits $mode: $((($(milliseconds) - start) / 20)) ms each"
done

before=()
ticks() { awk '{ print $14 + $15 }' "/proc/${cluster_pid[$1]}/stat"; }
for name in control1 control2 control3 balancer1 agent1; do
    before[${#before[@]}]="$(ticks "$name")"
done
sleep 10
index=0
for name in control1 control2 control3 balancer1 agent1; do
    used=$(($(ticks "$name") - before[index]))
    index=$((index + 1))
    memory="$(awk '/VmRSS/ { print $2 }' "/proc/${cluster_pid[$name]}/status")"
    echo "$name: $((memory / 1024)) MB resident, $((used * 10)) ms of processor time in 10 s"
done
