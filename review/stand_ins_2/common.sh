# Functions that the scripts of the second review share. A script that sources this file sets `here` to its own folder.
# Everything listens on addresses of one random loopback network: the platform's stand-ins, and machines NET.101 and up.

repo=$(cd "$here/../.." && pwd)
bin=$repo/target
record=$here/record.txt
net=127.$((RANDOM % 100 + 60)).$((RANDOM % 250 + 1))
tmp=$(mktemp -d)
trouble=${TROUBLE:-1}
pids=()
: > "$record"

note() { echo "$(date +%s%3N) $*" >> "$record"; }

# Ends with 2: the case could not run.
cannot() {
  note "cannot run: $*"
  echo "cannot run: $*" >&2
  finish 2
}

# Ends all processes that this script started, and the script with status $1.
finish() {
  touch "$tmp/stop"
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2> /dev/null; done
  for pid_file in "$tmp"/*.pid; do [ -f "$pid_file" ] && kill -KILL "$(cat "$pid_file")" 2> /dev/null; done
  for pid in "${pids[@]}"; do wait "$pid" 2> /dev/null; done
  rm -rf "$tmp"
  exit "$1"
}
trap 'finish 2' INT TERM

# start_platform NAME=VALUE...: the store and the engines.
start_platform() {
  [ -x "$bin/review-2/platform" ] && [ -x "$bin/azuregw" ] || cannot "the programs are not built"
  "$bin/review-2/platform" "$net" "$record" "$@" > "$tmp/platform.log" 2>&1 &
  pids+=($!)
  for _ in $(seq 50); do
    grep -qs ready "$tmp/platform.log" && return
    sleep 0.1
  done
  cannot "the platform does not start"
}

# settings N ZONE: writes the settings of machine N, as DEPLOY.md describes them.
settings() {
  local ip=$net.$((100 + $1))
  cat > "$tmp/gw-$1.toml" << END
nodeName = "front-$2-$1"
role = "gateway"
machineClass = "front"
serves = ["front"]
ip = "$ip"
zone = "$2"
region = "region-a"
internalPorts = [7340, 7355]
seedNodes = []
firstStart = true
heartbeatMs = 1200
[listen]
front = "$ip:8227"
ready = "$ip:8220"
[limits]
cpuShare = 0.25
cores = 1
memoryMb = 260
maxFds = 4200
linkMbps = 1000.0
diskMb = 0
[bounds]
reuseAfterS = 2
stableWindowMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
strictRevoke = true
revokeMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 198
recoveryS = 12
stall_ms = 3000
enforceFencing = true
[platform]
address = "$net.1:8223"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
END
}

# start_machine N ZONE: a machine whose process is started again, as the platform does, when it ends by itself.
start_machine() {
  settings "$1" "$2"
  (
    while [ ! -e "$tmp/stop" ]; do
      AZUREGW_NODE_FILE=$tmp/gw-$1.toml "$bin/azuregw" gateway > "$tmp/gw-$1.log" 2>&1 &
      echo $! > "$tmp/gw-$1.pid"
      wait $!
      status=$?
      [ -e "$tmp/stop" ] || note "ended: process of machine $1, status $status: $(tail -n 3 "$tmp/gw-$1.log" | grep -a what | cut -c -200)"
      sleep 0.5
    done
  ) &
  pids+=($!)
}

# limit_memory N...: in the background, ends the process of a machine that has exceeded its memoryMb, as the platform does.
limit_memory() {
  (
    while [ ! -e "$tmp/stop" ]; do
      for machine in "$@"; do
        local pid peak
        pid=$(cat "$tmp/gw-$machine.pid")
        peak=$(awk '/^VmHWM/ { print $2 }' "/proc/$pid/status" 2> /dev/null)
        if [ "${peak:-0}" -gt $((260 * 1024)) ] && kill -KILL "$pid" 2> /dev/null; then
          note "killed: machine $machine has used $peak kB, more than 260 MB"
          sleep 0.1
        fi
      done
      sleep 0.05
    done
  ) &
  pids+=($!)
}

# wait_ready N...: waits until the machines are ready.
wait_ready() {
  for machine in "$@"; do
    local ready=0
    for _ in $(seq 100); do
      if exec 3<> "/dev/tcp/$net.$((100 + machine))/8220"; then
        printf 'GET /azuregw/readyz HTTP/1.1\r\nHost: review\r\nConnection: close\r\n\r\n' >&3
        head -c 12 <&3 | grep -q 200 && ready=1
        exec 3>&-
      fi 2> /dev/null
      [ "$ready" = 1 ] && break
      sleep 0.1
    done
    [ "$ready" = 1 ] || cannot "machine $machine does not get ready"
  done
}

# start_callers MODE NAME=VALUE...: callers in the background; their process id is in $callers.
start_callers() {
  local mode=$1
  shift
  "$bin/review-2/callers" "$mode" "$record" key=key-0 "$@" &
  callers=$!
  pids+=("$callers")
}

# Judges the look-ups of the run and ends the script. Counts those that a machine read from a kept connection and passed on
# to a sound engine, and whose connection then ended without a byte of an answer. Rule LOST allows three.
judge_lookups() {
  local lost=0 answered ended
  while read -r id; do
    grep -q " run $id " "$record" && lost=$((lost + 1))
  done < <(awk '$2 == "closed" && $3 ~ /^l/ && / kept / { print $3 }' "$record")
  ended=$(grep -c ' ended: ' "$record")
  answered=$(awk '$2 == "answered" && $3 ~ /^l/' "$record" | wc -l)
  note "result: $answered look-ups answered; $lost passed on from a kept connection and closed without an answer;" \
    "processes that ended by themselves: $ended"
  tail -n 1 "$record"
  [ "$answered" -gt 100 ] || cannot "too few look-ups were answered"
  [ "$lost" -gt 3 ] && finish 1
  finish 0
}
