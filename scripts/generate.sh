#!/usr/bin/env bash
# Makes schemas/generated anew from the schemas; its output is committed, so a build needs no flatc.
set -euo pipefail
cd "$(dirname "$0")/../schemas"
flatc --cpp --cpp-std c++17 --gen-object-api --object-suffix _object -o generated envelope.fbs control.fbs packet_envelope.fbs
