#!/usr/bin/env bash
# Builds the drivers and stand-ins that the review's scripts start, into target/review/. Needs the
# compiler only. The build of the deploy file builds target/carawayshelf.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cpp; do
    g++ -std=c++17 -O2 -Wall -Wextra -pthread "$source" -o "target/review/$(basename "$source" .cpp)"
done
