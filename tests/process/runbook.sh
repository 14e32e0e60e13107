#!/usr/bin/env bash
# Runs the operator commands of docs/RUNBOOK.md in their order against real processes.
set -uo pipefail
cd "$(dirname "$0")/../.."
# shellcheck source=scripts/cluster.sh
source scripts/cluster.sh
trap cluster_end EXIT

cluster_begin
for i in 1 2 3; do cluster_control "$i"; done
cluster_until 20 cluster_do init --timeout_seconds=1 >/dev/null 2>&1
cluster_until 30 cluster_is_safe || { echo "the control instances did not form a cluster in time"; exit 1; }
cluster_balancer 1 cuyo-a
cluster_agent 1 cuyo-a
cluster_agent 2 cuyo-b
cluster_server 1 ordering
cluster_server 2 ordering
cluster_until 30 bash -c "'$cluster_program' domain list --control=$cluster_control_list | grep -q cuyo-b"

failed=0
count=0
while IFS= read -r line; do
    count=$((count + 1))
    command="${line//--control=C/--control=$cluster_control_list}"
    # shellcheck disable=SC2086
    if ! output="$("$cluster_program" ${command#carawayshelf } --wait_seconds=30 2>&1)"; then
        echo "FAILED: $line"
        echo "$output"
        failed=1
    fi
done < <(grep -o '`carawayshelf [^`]*--control=C`' docs/RUNBOOK.md | tr -d '`')
# A changed settings file must not end a daemon of flows over CoAP.
for name in "${!cluster_pid[@]}"; do
    case "$name" in balancer* | agent* | control*) kill -HUP "${cluster_pid[$name]}" ;; esac
done
sleep 0.5
for name in "${!cluster_pid[@]}"; do
    kill -0 "${cluster_pid[$name]}" 2>/dev/null || { echo "FAILED: SIGHUP ended $name"; failed=1; }
done
echo "$count commands run"
[ "$count" -ge 8 ] || failed=1
exit "$failed"
