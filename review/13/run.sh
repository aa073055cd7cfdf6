#!/usr/bin/env bash
# Starts four azuregw gateways, and in target/review-3/leaving_engine the stand-ins of the store,
# three engines and the callers.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/azuregw ] && [ -x target/review-3/leaving_engine ] || exit 2
set -m  # The processes of the case get a group of their own, which ends with it.
timeout --kill-after=5 100 target/review-3/leaving_engine review/13/record.txt &
group=$!
wait "$group"
code=$?
kill -KILL -- "-$group" 2> /dev/null
[ "$code" -le 1 ] && exit "$code"
exit 2
