#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into review/rig-3/build/.
set -euo pipefail
cd "$(dirname "$0")/rig-3"
mkdir -p build
for source in *.cc; do
    clang++ -std=c++20 -O1 -Wall -Wextra -Werror -c "$source" -o "build/${source%.cc}.o"
done
library=(build/connection.o build/server.o build/record.o build/store.o build/fleet.o)
for program in stop_and_change slow_reader earlier_birth cut_watch transfer_coding; do
    clang++ "build/$program.o" "${library[@]}" -pthread -o "build/$program"
done
