#!/usr/bin/env bash
# Failover gap on real processes: three daemons (entry and control), three
# stand-in upstreams, saves through all entries, the primary's process killed.
# Usage: gap.sh BUILD_FOLDER [ROUNDS] [death|silent]. Ends what it started.
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
