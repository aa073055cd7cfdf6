#!/usr/bin/env bash
# Starts the platform's stand-ins, two machines and callers. One of three model engines is faulty: its streams fall silent,
# and its report is 5 MB of the byte '['. Machines that exceed their memory are killed, as the platform does. Checks that
# callers of other requests get their answers (rule LOST). TROUBLE=0: all engines are sound.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../stand_ins_2/common.sh"

report=0
[ "$trouble" = 0 ] || report=5000000
start_platform work=300 events=50 "report=$report"
start_machine 1 zone-a
start_machine 2 zone-a
wait_ready 1 2
limit_memory 1 2
sleep 2
to=$net.101,$net.102
start_callers lookups seconds=30 count=12 "to=$to"
lookups=$callers
sleep 8  # The machines and the store are in touch for longer than stableWindowMs.
start_callers streams seconds=18 count=4 "to=$to"
streams=$callers
wait "$lookups" "$streams"

judge_lookups
