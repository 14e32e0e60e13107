#!/usr/bin/env bash
# Agents are stopped and started in turn beside servers with open flows. Exits with 1 if the system
# then resets an open flow whose server lives, 0 if it doesn't, 2 if the case couldn't run.
# TROUBLE=0: the agents are left alone.
cd "$(dirname "$0")/../.." || exit 2
for program in target/carawayshelf target/review-3/agent_roll; do
    [ -x "$program" ] || { echo "$program is missing: build it first"; exit 2; }
done
exec timeout -k 5 110 target/review-3/agent_roll target/carawayshelf review/11/record.txt "${TROUBLE:-1}"
