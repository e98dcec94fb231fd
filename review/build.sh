#!/usr/bin/env bash
# Builds the stand-ins of all cases that have a script. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [1-5]/Case.cpp; do
    number=$(dirname "$source")
    c++ -std=c++17 -O1 -Wall -Wextra -o "build/case$number" "$source" -pthread
done
