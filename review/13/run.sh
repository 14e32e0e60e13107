#!/usr/bin/env bash
# A core machine is removed without SIGTERM 4.5 s after its successor has started, and another one loses
# its disk at the same moment. Exits with 1 if what was acknowledged can't be read later than recovery_s
# after all are back, 0 if it can, 2 if the case couldn't run.
# TROUBLE=0: without the disruption. TROUBLE=removal or TROUBLE=disk: one disruption alone.
cd "$(dirname "$0")/../.." || exit 2
for program in target/carawayshelf target/review-3/removed_core; do
    [ -x "$program" ] || { echo "$program is missing: build it first"; exit 2; }
done
exec timeout -k 5 110 target/review-3/removed_core target/carawayshelf "${RECORD:-review/13/record.txt}" "${TROUBLE:-1}"
