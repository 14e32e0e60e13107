#!/usr/bin/env bash
# An edge machine is frozen while the servers of a zone go down and come back, three times. Exits with 1
# if two agents then end by themselves three times each, 0 if not, 2 if the case couldn't run.
# TROUBLE=freeze or TROUBLE=servers: one disruption alone.
# TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/carawayshelf target/review-3/frozen_edge; do
    [ -x "$program" ] || { echo "$program is missing: build it first"; exit 2; }
done
exec timeout -k 5 110 target/review-3/frozen_edge target/carawayshelf "${RECORD:-review/11/record.txt}" "${TROUBLE:-1}"
