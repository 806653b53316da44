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
work=$(mktemp -d)
declare -A pids=()

finish() {
    for pid in "${pids[@]}"; do
        kill -9 "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap finish EXIT

start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids[$name]=$!
}

settings() {
    local i=$1 base=$2
    cat <<JSON
{"vm": "vm$i", "failure_domain": "noord", "roles": ["entry", "control"],
 "data_dir": "$work/data$i", "drain_notice_ms": 0,
 "listen": {"postgres": "127.0.0.1:$((base + i))",
            "rpc": "127.0.0.1:$((base + 10 + i))",
            "http": "127.0.0.1:$((base + 20 + i))"},
 "upstream_follow_sql": "SELECT catkingrade_standin_follow('{host}:{port}')",
 "upstream_fence_sql": "SELECT catkingrade_standin_fence()",
 "groups": [{"name": "fleet", "voters": [
   {"id": 1, "vm": "vm1", "rpc": "127.0.0.1:$((base + 11))"},
   {"id": 2, "vm": "vm2", "rpc": "127.0.0.1:$((base + 12))"},
   {"id": 3, "vm": "vm3", "rpc": "127.0.0.1:$((base + 13))"}]}]}
JSON
}

declarations() {
    mkdir -p "$work/declarations"
    cat >"$work/declarations/roster.template.json" <<'JSON'
{"template": "roster", "parameters": {}, "customer": {
  "databases": [{"name": "roster", "group": "fleet"}], "confirm": 1,
  "session_limit": 1000, "request_types": [{"name": "other", "weight": 1,
  "deadline_ms": 8000, "queue_limit": 1000}]}}
JSON
    cat >"$work/declarations/pootafdruk.customer.json" <<'JSON'
{"customer": "pootafdruk", "template": "roster"}
JSON
}

round() {
    local base=$1
    local cli="$build/catkingrade -c 127.0.0.1:$((base + 11))"
    rm -rf "$work"/data*
    for i in 1 2 3; do
        settings "$i" "$base" >"$work/vm$i.json"
        start "vm$i" "$build/catkingraded" --settings "$work/vm$i.json" \
            --bootstrap
    done
    for i in 1 2 3; do
        local follow=()
        if [ "$i" -gt 1 ]; then
            follow=(--primary-address "127.0.0.1:$((base + 31))")
        fi
        start "up$i" "$build/fake_upstream" --name "up$i" --database roster \
            --failure-domain noord --port $((base + 30 + i)) \
            --control $((base + 40 + i)) --connect-delay-ms 10 \
            --announce "127.0.0.1:$((base + 21))" \
            --announce "127.0.0.1:$((base + 22))" \
            --announce "127.0.0.1:$((base + 23))" "${follow[@]}"
    done
    for _ in $(seq 100); do
        if $cli apply -f "$work/declarations" >"$work/apply.log" 2>&1; then
            break
        fi
        sleep 0.1
    done
    for _ in $(seq 100); do
        if $cli upstream list 2>/dev/null | grep -q primary; then
            break
        fi
        sleep 0.1
    done
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
    for name in "${!pids[@]}"; do
        kill -9 "${pids[$name]}" 2>/dev/null || true
        wait "${pids[$name]}" 2>/dev/null || true
        unset "pids[$name]"
    done
}

declarations
for number in $(seq "$rounds"); do
    echo "== round $number, $fault"
    round $((21000 + RANDOM % 300 * 100))
done
