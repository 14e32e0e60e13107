#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out; KEEP_LOGS=FOLDER keeps the processes' logs. Needs the build of the deploy file and
# review/build.sh.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
driver=target/review/late_order
[ -x "$driver" ] && [ -x target/carawayshelf ] || {
    echo "could not run: build first"
    exit 2
}
timeout --kill-after=2 115 "$driver" "$folder"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
