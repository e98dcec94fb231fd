#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15 and their stand-ins, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/Case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    ${CXX:-g++} -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review-3/case-$number" "$source"
done
