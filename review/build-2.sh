#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review into target/review-2/. Needs g++ only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
    g++ -std=c++17 -O1 -Wall -Wextra -o "target/review-2/$(basename "$source" .cpp)" "$source" -lpthread
done
