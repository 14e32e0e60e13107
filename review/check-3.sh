#!/usr/bin/env bash
# Runs each script of the third review five times and once with TROUBLE=0, and writes the exit codes to
# review/N/runs.txt. The record of the last run that failed stays in review/N/record.txt.
cd "$(dirname "$0")/.." || exit 2
for n in 11 12 13; do
    (
        out="review/$n/runs.txt"
        : >"$out"
        for i in 1 2 3 4 5; do
            TROUBLE=1 "review/$n/run.sh"
            echo "run $i: exit code $?" >>"$out"
        done
        RECORD="$(mktemp)" TROUBLE=0 "review/$n/run.sh"
        echo "TROUBLE=0: exit code $?" >>"$out"
        echo "failed $(grep -c 'run .*code 1' "$out") of 5" >>"$out"
    ) &
done
wait
tail -n 2 review/1[123]/runs.txt
