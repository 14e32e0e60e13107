#!/usr/bin/env bash
# Regenerates schemas/generated from the schemas. The output is committed, so that a build does not
# need flatc.
set -euo pipefail
cd "$(dirname "$0")/../schemas"
flatc --cpp --cpp-std c++17 --gen-object-api --object-suffix _object -o generated envelope.fbs control.fbs packet_envelope.fbs
