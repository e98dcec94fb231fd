#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with the stand-ins in review/standin-2, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++17 -O1 -Wall -Wextra -I review/standin-2 "$source" -o "target/review-2/case-$number" -pthread &
done
status=0
for job in $(jobs -p); do
    wait "$job" || status=1
done
exit $status
