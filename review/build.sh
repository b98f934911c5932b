#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for case in [0-9]*/case.cc; do
    clang++ -std=c++20 -O1 -pthread -o "build/case-$(dirname "$case")" "$case" rig/rig.cc
done
