#!/usr/bin/env bash
# Builds a preset (release by default) with warnings as errors and runs all its tests. The last line
# is 'N passed, N failed'. Failures that are listed in KNOWN-RED.txt are printed, but not counted.
set -uo pipefail
cd "$(dirname "$0")/.."
preset="${1:-release}"
scripts/install.sh && scripts/build.sh "$preset" >"/tmp/carawayshelf-build.$$" 2>&1 || {
    cat "/tmp/carawayshelf-build.$$"
    echo "the build failed"
    echo "0 passed, 1 failed"
    exit 1
}
rm -f "/tmp/carawayshelf-build.$$"

passed=0
failed=0
# run_test NAME COMMAND...: runs a test, prints its result and counts it.
run_test() {
    local name="$1" output
    shift
    if output="$(timeout 900 "$@" 2>&1)"; then
        passed=$((passed + 1))
        echo "ok      $name"
    elif grep -qE "^$name( |$)" KNOWN-RED.txt 2>/dev/null; then
        echo "known   $name (see KNOWN-RED.txt)"
    else
        failed=$((failed + 1))
        echo "FAILED  $name"
        echo "$output" | tail -n 40
    fi
}

program="build/$preset/tests/unit_tests"
suite=""
while IFS= read -r line; do
    name="${line//[[:space:]\*]/}"
    if [[ "$line" =~ ^[[:space:]] ]]; then
        run_test "$suite/$name" "$program" --color_output=no --run_test="$suite/$name"
    else
        suite="$name"
    fi
done < <("$program" --list_content 2>&1 | sed 's/\*$//' | awk '{ match($0, /^ */); print (RLENGTH > 0 ? " " : "") $1 }' | sed 's/^ /\t/')

run_test fuzz/decoders "build/$preset/tests/fuzz_decoders" --corpus=tests/fuzz/corpus
run_test process/runbook env "CLUSTER_BUILD=$PWD/build/$preset" tests/process/runbook.sh
run_test process/orders env "CLUSTER_BUILD=$PWD/build/$preset" tests/process/orders.sh
run_test process/flows env "CLUSTER_BUILD=$PWD/build/$preset" tests/process/flows.sh

if [ -s KNOWN-RED.txt ]; then
    echo
    echo "known failures (KNOWN-RED.txt):"
    cat KNOWN-RED.txt
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
