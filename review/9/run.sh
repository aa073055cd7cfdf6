#!/usr/bin/env bash
# Starts the platform's stand-ins and three machines of one zone, and callers that send orders through the platform's
# balancer. Two of the machines get SIGTERM at the same time. Checks that orders which a stopping machine has passed on
# are answered (rule LOST, planned work). TROUBLE=0: no machine is stopped.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../stand_ins_2/common.sh"

start_platform work=1500 timeout=2000
for n in 1 2 3; do start_machine "$n" zone-a; done
wait_ready 1 2 3
sleep 4
start_callers orders seconds=18 gap=60 "zone=$net.101,$net.102,$net.103"
sleep 5
if [ "$trouble" != 0 ]; then
  note "sigterm: machines 1 and 2"
  kill -TERM "$(cat "$tmp/gw-1.pid")" "$(cat "$tmp/gw-2.pid")"
fi
wait "$callers"

# Orders that an engine ran and whose connection ended without a complete answer. Counted are those that were sent later
# than 3 s after the SIGTERM, and that ended before the timeout of their route and within graceS + 1 s.
term=$(awk '$2 == "sigterm:" { print $1 }' "$record")
lost=0
while read -r end id sent; do
  if [ -n "$term" ] && [ $((sent - term)) -gt 3000 ] && [ $((end - sent)) -lt 1990 ] && [ $((end - term)) -lt 9000 ] &&
    grep -q " run $id " "$record"; then
    note "lost: $id, sent $((sent - term)) ms after SIGTERM, ended $((end - term)) ms after it"
    lost=$((lost + 1))
  fi
done < <(awk '($2 == "closed" || $2 == "cut") { print $1, $3, $NF }' "$record")
answered=$(awk '$2 == "answered"' "$record" | wc -l)
note "result: $answered orders answered; $lost passed on to an engine and ended without an answer"
tail -n 1 "$record"
[ "$answered" -gt 100 ] || cannot "too few orders were answered"
[ "$lost" -gt 0 ] && finish 1
finish 0
