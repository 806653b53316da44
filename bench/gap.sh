#!/usr/bin/env bash
# Measures the failover gap with real processes: three daemons with the roles
# entry and control, and three fake upstreams. Clients save through all entries
# while the process of the primary is killed (death) or stopped (silent).
# Usage: gap.sh BUILD_FOLDER [ROUNDS] [death|silent]. All processes that the
# script starts end with it. With KEEP_LOGS=FOLDER, the logs of the last round
# replace FOLDER.
set -euo pipefail

build=$(cd "${1:-build}" && pwd)
rounds=${2:-5}
fault=${3:-death}
target_ms=1000
if [ "$fault" = silent ]; then
    target_ms=2500
fi
source "$(dirname "$0")/installation.sh"

round() {
    local base=$1
    start_installation "$base"
    sleep 1.5
    "$build/catkingrade" bench gap 9 "$target_ms" roster "127.0.0.1:$((base + 1))" \
        "127.0.0.1:$((base + 2))" "127.0.0.1:$((base + 3))" &
    local bench=$!
    sleep 2.5
    if [ "$fault" = silent ]; then
        kill -STOP "${pids[up1]}"
    else
        kill -9 "${pids[up1]}"
    fi
    wait "$bench" || true
    if [ -n "${KEEP_LOGS:-}" ]; then
        $cli -j status >"$work/status.json" 2>&1 || true
        rm -rf "$KEEP_LOGS"
        cp -r "$work" "$KEEP_LOGS"
    fi
    $cli timeline --last 10 | grep -vE 'lease_held|started|group_role|following|elected' || true
    stop_installation
}

for number in $(seq "$rounds"); do
    echo "== round $number, $fault"
    round "$(find_base)"
done
