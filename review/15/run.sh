#!/usr/bin/env bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-third/third ] || { echo "run review/build-3.sh first"; exit 2; }
# The programs that the case starts are in its process group.
set -m
timeout 118 target/review-third/third dark review/15 &
group=$!
trap 'kill -KILL -- -$group 2>/dev/null' EXIT
wait $group
status=$?
[ $status -le 1 ] && exit $status
exit 2
