#!/usr/bin/env bash
# Tests failures and planned changes with real processes, under a load of feeds, reads and orders.
# Prints one row of counts for each scenario, and the violated guarantees. Not run by CI, because
# the results depend on real time.
#
#   tests/process/failures.sh [SCENARIO...]
set -uo pipefail
cd "$(dirname "$0")/../.."
# shellcheck source=scripts/cluster.sh
source scripts/cluster.sh
trap cluster_end EXIT
trap 'exit 130' INT TERM

address=127.0.9.1:5683
servers=6
failed=0

# run_scenario NAME MAY_BREAK_FEEDS EVENT_FUNCTION: runs the event under load. In every scenario there
# must be no wrong answer, no order that ran twice, and no order that ran although it was refused as
# "not run". If MAY_BREAK_FEEDS is no, no feed may break and each request must be answered. With
# KEEP_LOGS=FOLDER, settings and logs are copied to that folder.
run_scenario() {
    local name="$1" may_break="$2" event="$3" line i
    cluster_pid=()
    cluster_control_list=""
    cluster_begin
    for i in 1 2 3; do cluster_control "$i"; done
    cluster_until 10 cluster_do init --timeout_seconds=1 >/dev/null 2>&1
    cluster_until 15 cluster_is_safe
    for i in 1 2 3; do cluster_balancer "$i" "cuyo-$i"; done
    cluster_do catalogue put ordering --owner=hielo-frutal --class=critical --address=$address \
        --ramp_start_per_s=200 --ramp_ms=1000 >/dev/null || return 1
    for ((i = 1; i <= servers; ++i)); do
        cluster_agent "$i" "cuyo-$((i % 3 + 1))"
        cluster_server "$i" ordering
    done
    cluster_fabric "$address"
    cluster_until 15 cluster_has_members "$servers"
    sleep 3
    cluster_caller callers ordering "$address" --flows=40 --feeds=40 --seconds=8 --pause_ms=40
    sleep 1.5
    "$event"
    wait "${cluster_pid[callers]}"
    unset "cluster_pid[callers]"
    line="$(cat "$cluster_folder/callers.out")"
    printf '%-28s' "$name"
    for count in sent answered refused unknown silent wrong broken_feeds; do
        printf ' %9s' "$(cluster_count "$line" $count)"
    done
    echo
    cluster_check_orders || failed=1
    [ "$(cluster_count "$line" wrong)" -eq 0 ] || { echo "  there were wrong answers"; failed=1; }
    if [ "$may_break" = no ] && [ "$(cluster_count "$line" broken_feeds)" -ne 0 ]; then
        echo "  a planned change broke feeds"
        failed=1
    fi
    if [ "$may_break" = no ] && [ "$(cluster_count "$line" silent)" -ne 0 ]; then
        echo "  a planned change left requests without an answer"
        failed=1
    fi
    [ -z "${KEEP_LOGS:-}" ] || cp -r "$cluster_folder" "$KEEP_LOGS/$name"
    cluster_end
}

nothing() { :; }
balancer_roll() {
    local i
    for i in 1 2 3; do
        cluster_stop "balancer$i"
        sleep 0.5
        cluster_balancer "$i" "cuyo-$i"
        sleep 1
    done
}
control_roll() {
    local i
    for i in 1 2 3; do
        cluster_stop "control$i"
        cluster_control "$i"
        cluster_until 10 cluster_is_safe
    done
}
agent_roll() {
    local i
    for i in 1 2; do
        cluster_stop "agent$i"
        cluster_agent "$i" "cuyo-$((i % 3 + 1))"
        sleep 1
    done
}
server_join() {
    cluster_agent 7 cuyo-1
    cluster_server 7 ordering
    sleep 4
}
entry_edit() {
    cluster_do catalogue put ordering --server_queue=20 >/dev/null
    cluster_do catalogue put ordering --server_queue=30 >/dev/null
}
server_drain() { kill -TERM "${cluster_pid[server3]}"; sleep 3; }
domain_out_and_in() {
    cluster_do domain out cuyo-2 >/dev/null
    sleep 2.5
    cluster_do domain in cuyo-2 >/dev/null
}
balancer_kill() { cluster_stop balancer2 KILL; }
agent_kill() { cluster_stop agent2 KILL; }
server_kill() { cluster_stop server2 KILL; sleep 1; cluster_server 2 ordering; }
control_kill() { cluster_stop control1 KILL; sleep 1; cluster_control 1; }
agent_freeze() {
    kill -STOP "${cluster_pid[agent2]}"
    sleep 4
    kill -CONT "${cluster_pid[agent2]}"
}
control_disk_lost() {
    cluster_stop control2 KILL
    rm -rf "$cluster_folder/control2"
    cluster_control 2
    cluster_until 15 cluster_is_safe || echo "  the instance with the lost disk was not replaced in time"
    cluster_stop control3 KILL
    cluster_do catalogue put ordering --server_queue=40 --nowait >/dev/null || {
        echo "  no edit was accepted after the loss of a second instance"
        failed=1
    }
}

all=(none:no:nothing entry-edit:no:entry_edit balancer-roll:no:balancer_roll
    control-roll:no:control_roll server-join:no:server_join agent-roll:no:agent_roll
    server-drain:yes:server_drain domain-out-and-in:yes:domain_out_and_in
    balancer-kill:yes:balancer_kill agent-kill:yes:agent_kill server-kill:yes:server_kill
    control-kill:no:control_kill agent-freeze:yes:agent_freeze
    control-disk-lost:no:control_disk_lost)

printf '%-28s' scenario
for count in sent answered refused unknown silent wrong broken; do printf ' %9s' $count; done
echo
for item in "${all[@]}"; do
    IFS=: read -r name may_break event <<<"$item"
    if [ "$#" -eq 0 ] || [[ " $* " == *" $name "* ]]; then
        run_scenario "$name" "$may_break" "$event"
    fi
done
exit "$failed"
