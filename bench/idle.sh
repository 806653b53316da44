#!/usr/bin/env bash
# Measures the cost of the control plane in daemons that run no statements:
# CPU, memory and RPC bytes per second, with one database, first without
# sessions and then with idle sessions at each entry.
# Usage: idle.sh BUILD_FOLDER [SECONDS] [SESSIONS]. All processes that the
# script starts end with it.
set -euo pipefail

build=$(cd "${1:-build}" && pwd)
seconds=${2:-20}
sessions=${3:-5}
source "$(dirname "$0")/installation.sh"

# Prints the CPU time of a process in clock ticks.
ticks() {
    awk '{print $14 + $15}' "/proc/${pids[$1]}/stat"
}

# Prints a counter of the daemon whose HTTP port is given.
counter() {
    curl -s "http://127.0.0.1:$1/metrics" |
        awk -v name="catkingrade_$2" '$1 == name {print $2}'
}

# Measures all daemons over some seconds and prints a line for each.
measure() {
    local label=$1 hz before after sent received
    hz=$(getconf CLK_TCK)
    for i in 1 2 3; do
        before[i]=$(ticks "vm$i")
        sent[i]=$(counter $((base + 20 + i)) rpc_sent_bytes_total)
        received[i]=$(counter $((base + 20 + i)) rpc_received_bytes_total)
    done
    sleep "$seconds"
    for i in 1 2 3; do
        after[i]=$(ticks "vm$i")
        local now_sent now_received role
        now_sent=$(counter $((base + 20 + i)) rpc_sent_bytes_total)
        now_received=$(counter $((base + 20 + i)) rpc_received_bytes_total)
        role=$($cli -j status | python3 -c "
import json, sys
for row in json.load(sys.stdin)['daemons']:
    if row['vm'] == 'vm$i':
        print(row['groups'][0]['role'])")
        awk -v label="$label" -v vm="vm$i" -v role="$role" \
            -v cpu=$((after[i] - before[i])) -v hz="$hz" -v s="$seconds" \
            -v sent=$((now_sent - sent[i])) \
            -v received=$((now_received - received[i])) \
            -v rss="$(awk '/VmRSS/ {print $2}' "/proc/${pids[vm$i]}/status")" \
            'BEGIN {printf "%s %s %-8s cpu %.2f %%  rss %.1f MB  sent %.0f B/s  received %.0f B/s\n",
                    label, vm, role, 100 * cpu / hz / s, rss / 1024,
                    sent / s, received / s}'
    done
}

base=$(find_base)
start_installation "$base"
sleep 2
measure "no session"
for i in 1 2 3; do
    for _ in $(seq "$sessions"); do
        psql -X -q -h 127.0.0.1 -p $((base + i)) -U idle -d roster \
            -c "SELECT 1" -c "\\! sleep $((seconds + 6))" >/dev/null 2>&1 &
    done
done
sleep 3
measure "$sessions sessions"
