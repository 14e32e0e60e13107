#!/usr/bin/env bash
# Three control instances are replaced one after the other, then a configuration follows. TROUBLE=0: no replacement.
# Exits with 1 if a dropped route was still run or an added one was not, 0 if not, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/carawayshelf ] && [ -x target/review-2/all_replaced ] || exit 2
timeout --kill-after=2 115 target/review-2/all_replaced target/carawayshelf review/6/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
