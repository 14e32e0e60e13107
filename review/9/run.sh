#!/usr/bin/env bash
# Two control instances are dark for 7 s; meanwhile two of the others lose their disks. TROUBLE=0: neither.
# Exits with 1 if the acknowledged configuration can not be read afterwards, 0 if it can, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/carawayshelf ] && [ -x target/review-2/disks_lost ] || exit 2
timeout --kill-after=2 115 target/review-2/disks_lost target/carawayshelf review/9/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
