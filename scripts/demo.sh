#!/usr/bin/env bash
# Builds carawayshelf, runs a cluster with servers and callers as separate processes, and checks
# every answer. With --hold, starts no callers and keeps the cluster running until Ctrl-C.
set -uo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh && scripts/build.sh release >/dev/null || exit 1
# shellcheck source=scripts/cluster.sh
source scripts/cluster.sh
trap cluster_end EXIT
trap 'exit 130' INT TERM

ordering=127.0.9.1:5683
catalogue=127.0.9.2:5684

cluster_begin
for i in 1 2 3; do cluster_control "$i"; done
cluster_until 10 cluster_do init --timeout_seconds=1 >/dev/null 2>&1 || exit 1
cluster_until 10 cluster_is_safe || { echo "the control instances did not form a cluster in time"; exit 1; }
cluster_balancer 1 cuyo-a
cluster_balancer 2 cuyo-b
cluster_balancer 3 cuyo-b
cluster_agent 1 cuyo-a
cluster_agent 2 cuyo-b
cluster_agent 3 cuyo-a
cluster_agent 4 cuyo-b
cluster_do catalogue put ordering --owner=hielo-frutal --class=critical --address=$ordering \
    --ramp_start_per_s=100 --ramp_ms=2000 || exit 1
cluster_do catalogue put catalogue --owner=hielo-frutal --class=normal --address=$catalogue \
    --ramp_start_per_s=100 --ramp_ms=2000 || exit 1
cluster_server 1 ordering
cluster_server 2 ordering
cluster_server 3 catalogue
cluster_server 4 catalogue
cluster_fabric "$ordering,$catalogue"
cluster_until 10 cluster_has_members 4 || { cluster_do status; exit 1; }

if [ "${1:-}" = --hold ]; then
    echo
    for name in $(printf '%s\n' "${!cluster_pid[@]}" | sort); do
        printf '%-12s process %s\n' "$name" "${cluster_pid[$name]}"
    done
    echo "control instances $cluster_control_list"
    echo "services ordering $ordering, catalogue $catalogue"
    echo "settings and logs are in $cluster_folder"
    echo "try: $cluster_program status --control=$cluster_control_list"
    echo "press Ctrl-C to stop all processes"
    while true; do sleep 1; done
fi

# Wait until the servers are warm, so that no request is refused because of their cold start.
sleep 2.5
cluster_caller orders ordering $ordering --flows=6 --feeds=4 --seconds=4
cluster_caller photos catalogue $catalogue --flows=6 --feeds=2 --seconds=4 --post_percent=0
wait "${cluster_pid[orders]}" "${cluster_pid[photos]}"
unset "cluster_pid[orders]" "cluster_pid[photos]"

echo
printf '%-10s %8s %8s %8s %8s %8s %8s %8s\n' service sent answered refused unknown silent wrong broken
failed=0
for name in orders photos; do
    line="$(cat "$cluster_folder/$name.out")"
    printf '%-10s' "$name"
    for count in sent answered refused unknown silent wrong broken_feeds; do
        printf ' %8s' "$(cluster_count "$line" $count)"
    done
    echo
    grep -o 'refused_[a-z_]*=[0-9]*' <<<"$line" | sed 's/^refused_/  refused as /'
    for count in silent wrong broken_feeds unknown; do
        [ "$(cluster_count "$line" $count)" -eq 0 ] || failed=1
    done
    sent="$(cluster_count "$line" sent)"
    whole=$(($(cluster_count "$line" answered) + $(cluster_count "$line" refused)))
    [ "$sent" -gt 0 ] && [ "$whole" -eq "$sent" ] || failed=1
done
cluster_check_orders || failed=1
if [ "$failed" -eq 0 ]; then
    echo "all requests were answered correctly or refused"
else
    echo "FAILED: an answer is missing or wrong; see the table above"
fi
exit "$failed"
