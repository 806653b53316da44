#!/usr/bin/env bash
# Runs the main job on this machine: two entries (noord and midden) and three
# stand-in upstreams. psql makes a booking at entry A while both replicas
# lag, and reads it at entry B; each statement prints where it ran and why.
# Usage: demo.sh [BUILD_FOLDER]. It ends all that it started.
set -euo pipefail

build=$(cd "${1:-build}" && pwd)
work=$(mktemp -d)
pids=()

finish() {
    local status=$?
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    if [ "$status" -ne 0 ]; then
        echo "demo: failed; logs:" >&2
        tail -n 20 "$work"/*.log >&2 || true
    fi
    rm -rf "$work"
    exit "$status"
}
trap finish EXIT

say() {
    printf '\n== %s\n' "$*"
}

port_is_open() {
    (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

# Prints a run of four ports that nobody listens on.
find_ports() {
    local first
    for _ in $(seq 50); do
        first=$((20000 + RANDOM % 20000))
        if ! port_is_open "$first" && ! port_is_open $((first + 1)) &&
            ! port_is_open $((first + 2)) && ! port_is_open $((first + 3)); then
            echo "$first"
            return
        fi
    done
    echo "demo: no free ports" >&2
    return 1
}

wait_port() {
    for _ in $(seq 600); do
        if port_is_open "$1"; then
            return
        fi
        sleep 0.1
    done
    echo "demo: nothing listens on port $1" >&2
    return 1
}

start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
}

start_upstream() {
    local name=$1 domain=$2 port=$3
    shift 3
    start "$name" "$build/fake_upstream" --name "$name" --database roster \
        --failure-domain "$domain" --port "$port" "$@"
    wait_port "$port"
}

start_entry() {
    local vm=$1 domain=$2 port=$3
    cat >"$work/$vm.json" <<JSON
{
    "vm": "$vm",
    "failure_domain": "$domain",
    "roles": ["entry"],
    "listen": {"postgres": "127.0.0.1:$port", "rpc": "127.0.0.1:$((port + 1))"},
    "view_file": "$work/view.json",
    "token_keys_file": "$work/token-keys",
    "drain_notice_ms": 0
}
JSON
    start "$vm" "$build/catkingraded" --settings "$work/$vm.json"
    wait_port "$port"
}

write_view() {
    cat >"$work/view.json" <<JSON
{
    "customers": [{
        "name": "pootafdruk", "max_age_ms": 2000, "confirm": 1,
        "types": [
            {"name": "booking", "weight": 10, "deadline_ms": 8000},
            {"name": "schedule", "weight": 3, "deadline_ms": 2000,
             "repeatable": true, "max_age_ms": 2000}
        ]
    }],
    "databases": [{
        "name": "roster", "customer": "pootafdruk", "primary": "roster-noord",
        "base": {"timeline": 1, "lsn": 0},
        "upstreams": [
            {"name": "roster-noord", "failure_domain": "noord",
             "host": "127.0.0.1", "port": $1},
            {"name": "roster-midden", "failure_domain": "midden",
             "host": "127.0.0.1", "port": $2},
            {"name": "roster-zuid", "failure_domain": "zuid",
             "host": "127.0.0.1", "port": $3}
        ]
    }]
}
JSON
}

# Runs statements at an entry as a caller would.
run_psql() {
    local port=$1
    shift
    psql -X -q -h 127.0.0.1 -p "$port" -U walker -d roster \
        -v ON_ERROR_STOP=1 "$@"
}

say "three stand-in upstreams; the replicas lag by 0.5 s and by 3 s"
upstreams=$(find_ports)
start_upstream roster-noord noord "$upstreams"
start_upstream roster-midden midden $((upstreams + 1)) \
    --primary-address "127.0.0.1:$upstreams" --lag-ms 500
start_upstream roster-zuid zuid $((upstreams + 2)) \
    --primary-address "127.0.0.1:$upstreams" --lag-ms 3000

say "two entries"
head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/key"
echo "1 $(cat "$work/key")" >"$work/token-keys"
write_view "$upstreams" $((upstreams + 1)) $((upstreams + 2))
entry_a=$(find_ports)
start_entry entry-noord noord "$entry_a"
entry_b=$(find_ports)
start_entry entry-midden midden "$entry_b"

say "entry A (noord): a booking"
run_psql "$entry_a" -c "CREATE TABLE handovers (id int PRIMARY KEY,
    puppy text, family text)"
run_psql "$entry_a" \
    -c "/* catkingrade: type=booking */ INSERT INTO handovers (id, puppy,
        family) VALUES (1, 'Saar', 'De Vries') RETURNING *" \
    -c "SHOW catkingrade.last_route" \
    -At -c "SHOW catkingrade.token" | tee "$work/booking.txt"
token=$(tail -n 1 "$work/booking.txt")

say "entry B (midden): the same caller reads it back with its token"
run_psql "$entry_b" -c "SET catkingrade.token = '$token'" \
    -c "SELECT * FROM handovers" -c "SHOW catkingrade.last_route"

say "entry B: a caller without a token still sees what was written before it"
run_psql "$entry_b" -c "SELECT * FROM handovers" \
    -c "SHOW catkingrade.last_route"

say "entry B: a week's schedule of the stated age, once the replicas caught up"
sleep 4
run_psql "$entry_b" \
    -c "/* catkingrade: type=schedule */ SELECT count(*) FROM handovers" \
    -c "SHOW catkingrade.last_route"

say "done"
