#!/usr/bin/env bash
# Builds the stand-ins and clients of the scripts of the second review into build/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for source in review/[0-9]*/case.cc; do
    number="$(basename "$(dirname "$source")")"
    [ "$number" -ge 6 ] || continue
    clang++ -std=c++20 -O1 -Wall -Wextra -pthread review/rig-2/rig.cc "$source" -o "build/review-2/case-$number"
done
