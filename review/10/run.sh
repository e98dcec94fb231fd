#!/usr/bin/env bash
# Plays the case of claim.txt against real processes; TROUBLE=0 leaves the disruption out.
# Exit status: 1 the rule was broken, 0 it held, 2 the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/crocuslever-platformd ] && [ -x target/review-2/case-10 ] || exit 2
exec target/review-2/case-10 review/10
