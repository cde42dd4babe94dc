#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case can't run. TROUBLE=0 leaves
# the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stand-in-3 ] || exit 2
set -m
timeout 115 target/review-2/stand-in-3 removed-voter target/release review/6/record.txt &
group=$!
trap 'kill -KILL -- -$group 2>/dev/null' EXIT
wait $group
status=$?
[ $status -le 1 ] && exit $status
exit 2
