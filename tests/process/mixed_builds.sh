#!/usr/bin/env bash
# Tests two builds of carawayshelf together in a cluster and in succession, as in an upgrade and a
# rollback, under a load of feeds, reads and orders. Not run by CI: needs a build of an earlier commit.
#
#   tests/process/mixed_builds.sh OLD_BUILD NEW_BUILD     (folders such as build/release)
#
# For each phase it prints the callers' counts and the warnings and errors in the logs. It fails if:
# - an answer is wrong or missing, its outcome is unknown, or a feed breaks;
# - an order ran twice, or ran although it was refused as "not run";
# - the catalogue changes when control instances restart on their data folders;
# - a refusal has a reason that does not occur with the old build alone;
# - a warning or error is logged that does not occur with either build alone.
set -uo pipefail
[ "$#" -eq 2 ] || { sed -n '5p' "$0"; exit 2; }
old_build="$(realpath "$1")"
new_build="$(realpath "$2")"
cd "$(dirname "$0")/../.."
export CLUSTER_BUILD="$new_build"
# shellcheck source=scripts/cluster.sh
source scripts/cluster.sh
trap cluster_end EXIT
trap 'exit 130' INT TERM

service_address=127.0.9.1:5683
servers=6
failed=0
caller_runs=0
baseline_refusals=""
baseline_problems=""

# use BUILD: later cluster functions start the programs of that build.
use() { cluster_program="$1/carawayshelf"; }
# build_of old|new: prints the folder of that build.
build_of() { [ "$1" = old ] && echo "$old_build" || echo "$new_build"; }

# begin_cluster BUILD_1 BUILD_2 BUILD_3: starts a cluster; control instance I and balancer I are from
# BUILD_I (old or new), agent I is from BUILD_(I % 3 + 1).
begin_cluster() {
    local builds=("$@") i
    cluster_pid=()
    cluster_control_list=""
    cluster_begin
    for i in 1 2 3; do use "$(build_of "${builds[i - 1]}")"; cluster_control "$i"; done
    cluster_until 20 cluster_do init --timeout_seconds=1 >/dev/null 2>&1
    cluster_until 30 cluster_is_safe || { echo "the control instances did not form a cluster in time"; failed=1; return 1; }
    for i in 1 2 3; do use "$(build_of "${builds[i - 1]}")"; cluster_balancer "$i" "cuyo-$i"; done
    cluster_do catalogue put ordering --owner=hielo-frutal --class=critical \
        --address=$service_address --ramp_start_per_s=200 --ramp_ms=1000 >/dev/null || failed=1
    for ((i = 1; i <= servers; ++i)); do
        use "$(build_of "${builds[i % 3]}")"
        cluster_agent "$i" "cuyo-$((i % 3 + 1))"
        cluster_server "$i" ordering
    done
    cluster_fabric "$service_address"
    cluster_until 30 cluster_has_members "$servers" || { echo "not all members own buckets"; failed=1; }
    sleep 3
}

# refusals LINE: prints the reasons for refusals in a caller's line of counts.
refusals() { grep -o 'refused_[a-z_]*=[1-9][0-9]*' <<<"$1" | cut -d= -f1 | sort -u; }
# problems: prints the distinct warnings and errors in the logs. Numbers and addresses, which differ
# between runs, are replaced by N.
problems() {
    cat "$cluster_folder"/{control,balancer,agent}*.{out,log} 2>/dev/null |
        grep -E '"level":"(warning|error|critical)"' | grep -o '"message":.*' |
        sed -E 's/[0-9]+(\.[0-9]+)*(:[0-9]+)?/N/g' | sort -u
}

# start_callers SECONDS: starts callers with a unique name, because order ids are derived from it.
start_callers() {
    callers="callers$((++caller_runs))"
    cluster_caller "$callers" ordering "$service_address" --flows=30 --feeds=30 "--seconds=$1" \
        --pause_ms=40
}

# end_callers PHASE old|new|mixed: waits for the callers and checks their counts and the logs. With old
# or new, that build runs alone: its warnings and errors become part of the baseline, and with old
# also its reasons for refusals.
end_callers() {
    local line count new_kinds
    wait "${cluster_pid[$callers]}"
    unset "cluster_pid[$callers]"
    line="$(cat "$cluster_folder/$callers.out")"
    printf '%-24s' "$1"
    for count in sent answered refused unknown silent wrong broken_feeds; do
        printf ' %9s' "$(cluster_count "$line" $count)"
    done
    echo
    cluster_check_orders || failed=1
    for count in unknown silent wrong broken_feeds; do
        [ "$(cluster_count "$line" $count)" -eq 0 ] || { echo "  $count is not 0"; failed=1; }
    done
    [ "$(cluster_count "$line" sent)" -gt 0 ] || { echo "  nothing was sent"; failed=1; }
    problems | sed 's/^/  log: /'
    if [ "$2" != mixed ]; then
        baseline_problems="$(printf '%s\n' "$baseline_problems" "$(problems)" | sort -u)"
    fi
    if [ "$2" = old ]; then
        baseline_refusals="$(printf '%s\n' "$baseline_refusals" "$(refusals "$line")" | sort -u)"
        return
    fi
    new_kinds="$(comm -13 <(echo "$baseline_refusals") <(refusals "$line"))"
    [ -z "$new_kinds" ] || { echo "  reasons for refusals that do not occur with the old build: $new_kinds"; failed=1; }
    new_kinds="$(comm -13 <(echo "$baseline_problems") <(problems))"
    [ -z "$new_kinds" ] || { echo "  warnings or errors that do not occur with one build alone: $new_kinds"; failed=1; }
}

# roll_to BUILD: restarts control instances, balancers and agents one after the other.
roll_to() {
    local i
    use "$1"
    for i in 1 2 3; do
        cluster_stop "control$i"
        cluster_control "$i"
        cluster_until 20 cluster_is_safe || { echo "  control instance $i did not rejoin the cluster in time"; failed=1; }
    done
    for i in 1 2 3; do
        cluster_stop "balancer$i"
        sleep 0.5
        cluster_balancer "$i" "cuyo-$i"
        sleep 1
    done
    # Each agent stores its restart state at control; its next incarnation claims it and keeps the
    # flows.
    for ((i = 1; i <= servers; ++i)); do
        cluster_stop "agent$i"
        cluster_agent "$i" "cuyo-$((i % 3 + 1))"
        sleep 1
    done
}

# restart_control BUILD PHASE PORT: adds a service at PORT, stops all control instances, starts BUILD on
# their data folders, and checks that the catalogue is unchanged.
restart_control() {
    local i before after
    cluster_do catalogue put "stored-$2" --owner=hielo-frutal --class=normal \
        "--address=127.0.9.2:$3" --nowait >/dev/null || failed=1
    before="$(cluster_do catalogue list)"
    for i in 1 2 3; do cluster_stop "control$i"; done
    use "$1"
    for i in 1 2 3; do cluster_control "$i"; done
    cluster_until 30 cluster_is_safe || { echo "  $2: the restarted control instances did not form a cluster in time"; failed=1; }
    after="$(cluster_do catalogue list)"
    if [ -z "$before" ] || [ "$before" != "$after" ]; then
        printf '  %s: the catalogue changed from\n%s\nto\n%s\n' "$2" "$before" "$after"
        failed=1
    else
        echo "$2: $(wc -l <<<"$after") catalogue lines are unchanged after the restart"
    fi
}

printf '%-24s' phase
for count in sent answered refused unknown silent wrong broken; do printf ' %9s' $count; done
echo

for build in old new; do
    begin_cluster $build $build $build && start_callers 10 && end_callers "$build-alone" $build
    start_callers 30 && sleep 2 && roll_to "$(build_of $build)" &&
        end_callers "$build-rolled-to-$build" $build
    restart_control "$(build_of $build)" "$build-on-$build" 5691
    start_callers 6 && end_callers "$build-restarted" $build
    cluster_end
done

for builds in "old new new" "new old old"; do
    # shellcheck disable=SC2086
    begin_cluster $builds && start_callers 10 && end_callers "mixed-${builds// /-}" mixed
    cluster_end
done

begin_cluster old old old
start_callers 30 && sleep 2 && roll_to "$new_build" && end_callers upgrade mixed
start_callers 30 && sleep 2 && roll_to "$old_build" && end_callers rollback mixed
restart_control "$new_build" new-on-old 5692
start_callers 6 && end_callers new-restarted mixed
restart_control "$old_build" old-on-new 5693
start_callers 6 && end_callers old-restarted mixed
cluster_end
[ "$failed" -eq 0 ] && echo "old and new build work together"
exit "$failed"
