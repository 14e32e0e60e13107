#!/usr/bin/env bash
# Checks the form of the cases of the third review: review/check-3.sh [N...]. Runs each run.sh five times
# and once with TROUBLE=0, and writes review/N/runs.txt: the exit code and the time of each run, the
# processes that it started, how many of them and of its drivers are left, whether it left a temporary
# folder, and the addresses of the sockets that they had (looked at about three times a second). Exits with 1
# if a case's form isn't kept. Needs the builds, as run.sh does. Reads /proc of the processes that the
# script started only.
set -uo pipefail
cd "$(dirname "$0")/.."

# sockets_of PID...: prints the local and remote IPv4 addresses of their sockets, one a line; any IPv6
# socket as "ipv6". An unconnected or listening socket has no remote address.
sockets_of() {
    local pid inodes
    inodes="$(for pid in "$@"; do
        find "/proc/$pid/fd" -lname 'socket:*' -printf '%l\n' 2>/dev/null
    done | tr -dc '0-9\n' | sort -u | tr '\n' ' ')"
    awk -v wanted="$inodes" '
        function byte(hex, at) {
            return (index(digits, substr(hex, at, 1)) - 1) * 16 + index(digits, substr(hex, at + 1, 1)) - 1
        }
        function text(hex) { return byte(hex, 7) "." byte(hex, 5) "." byte(hex, 3) "." byte(hex, 1) }
        BEGIN { digits = "0123456789ABCDEF"; count = split(wanted, list, " "); for (i = 1; i <= count; ++i) known[list[i]] = 1 }
        ($10 in known) && FILENAME ~ /6$/ { print "ipv6" }
        ($10 in known) && FILENAME !~ /6$/ {
            split($2, from, ":"); split($3, to, ":")
            print text(from[1])
            if (to[1] != "00000000" || to[2] != "0000") print text(to[1])
        }' /proc/net/tcp /proc/net/udp /proc/net/tcp6 /proc/net/udp6 2>/dev/null
}

# descendants PID: prints a process and all that it has started and that still run.
descendants() {
    local child
    echo "$1"
    for child in $(pgrep -P "$1"); do descendants "$child"; done
}

# one_run N TROUBLE NAME: runs a case, prints a line, and sets form to 1 if its form isn't kept.
one_run() {
    local n="$1" trouble="$2" name="$3" code addresses seen said run pid group listed count left foreign folders
    addresses="$(mktemp)"
    seen="$(mktemp)"
    said="$(mktemp)"
    folders="$(mktemp -d)"
    rm -f "review/$n/record.txt"
    local began="$SECONDS"
    TMPDIR="$folders" TROUBLE="$trouble" "review/$n/run.sh" >"$said" 2>&1 &
    run=$!
    while kill -0 "$run" 2>/dev/null; do
        group="$(descendants "$run")"
        echo "$group" >>"$seen"
        # shellcheck disable=SC2086
        sockets_of $group >>"$addresses"
        sleep 0.3
    done
    wait "$run"
    code=$?
    local lasted=$((SECONDS - began))
    listed="$(sed -n 's/.*start  .*(pid \([0-9]*\)).*/\1/p' "review/$n/record.txt")"
    count="$(wc -w <<<"$listed")"
    left=0
    for pid in $(sort -u "$seen" <(echo "$listed")); do
        kill -0 "$pid" 2>/dev/null && left=$((left + 1))
    done
    foreign="$(grep -cv '^127\.' "$addresses")"
    local kept_folders
    kept_folders="$(find "$folders" -mindepth 1 -maxdepth 1 | wc -l)"
    echo "$name: exit code $code after $lasted s; $count daemons started, $left processes left, $kept_folders folders left;" \
        "$(sort -u "$addresses" | wc -l) addresses in $(wc -l <"$addresses") sightings, $foreign outside 127.0.0.0/8;" \
        "$(tail -n 1 "$said" | cut -c1-120)"
    [ "$foreign" -eq 0 ] || grep -v '^127\.' "$addresses" | sort | uniq -c
    [ "$left" -eq 0 ] && [ "$kept_folders" -eq 0 ] && [ "$foreign" -eq 0 ] && [ "$lasted" -lt 120 ] &&
        [ "$(wc -l <"$addresses")" -gt 0 ] && [ "$count" -gt 0 ] || form=1
    rm -rf "$addresses" "$seen" "$said" "$folders"
    return "$code"
}

check_case() {
    local n="$1" form=0 broken=0 i code kept
    kept="$(mktemp)"
    {
        for i in 1 2 3 4 5; do
            one_run "$n" 1 "run $i"
            code=$?
            [ "$code" -eq 1 ] && broken=$((broken + 1))
            [ "$code" -le 1 ] || form=1
            [ "$code" -eq 1 ] && cp "review/$n/record.txt" "$kept"
        done
        one_run "$n" 0 "TROUBLE=0" || form=1
        [ -s "$kept" ] && cp "$kept" "review/$n/record.txt"
        [ "$broken" -gt 0 ] || form=1
        echo "failed $broken of 5 runs; the form is $([ "$form" -eq 0 ] && echo kept || echo NOT kept)"
    } >"review/$n/runs.txt"
    rm -f "$kept"
    return "$form"
}

failed=0
declare -a checks=()
for n in ${*:-11 12 13}; do
    check_case "$n" &
    checks+=("$!")
done
for check in "${checks[@]}"; do wait "$check" || failed=1; done
exit "$failed"
