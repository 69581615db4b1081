#!/usr/bin/env bash
# A request that ends each server which begins to run it comes again and again.
# TROUBLE=0 leaves the disruption out. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-case-2
for file in "$program" target/release/redwingd; do
  [ -x "$file" ] || { echo "$file is missing: build deploy/system.toml, then run review/build-2.sh"; exit 2; }
done
"$program" deadly review/6 &
case_pid=$!
# The program ends all processes that it started.
trap 'kill "$case_pid" 2>/dev/null' TERM INT
wait "$case_pid"
result=$?
# A wait that a signal interrupted returns before the program has ended.
wait "$case_pid" 2>/dev/null
[ "$result" -le 2 ] && exit "$result"
exit 2
