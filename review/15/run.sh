#!/usr/bin/env bash
# Plays the case; see claim.txt. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption.
folder_of_case=$(cd "$(dirname "$0")" && pwd) || exit 2
number=$(basename "$folder_of_case")
cd "$folder_of_case/../.." || exit 2
program=target/review-3/case-$number
[ -x "$program" ] && [ -x target/crocuslever-platformd ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -s KILL 118 "$program" "$folder" "review/$number/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
