#!/usr/bin/env bash
# Starts the platform's stand-ins, two machines and callers. One of three model engines is faulty: it sends an event whose ID
# is 70,000 bytes long and closes the connection. Checks that callers of other requests get their answers (rule LOST).
# TROUBLE=0: all engines are sound.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../stand_ins_2/common.sh"

junk=0
[ "$trouble" = 0 ] || junk=70000
start_platform work=300 events=50 "junk=$junk"
start_machine 1 zone-a
start_machine 2 zone-a
wait_ready 1 2
sleep 2
to=$net.101,$net.102
start_callers lookups seconds=25 count=12 "to=$to"
lookups=$callers
sleep 8  # The machines and the store are in touch for longer than stableWindowMs.
start_callers streams seconds=12 count=2 "to=$to"
streams=$callers
wait "$lookups" "$streams"

judge_lookups
