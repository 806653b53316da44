#!/usr/bin/env bash
# Demonstration on this machine: one control VM, two entries (noord and midden)
# and three stand-in upstreams that announce themselves. psql makes a booking at
# entry A while both replicas lag, and reads it at entry B; after each statement
# the script prints where it ran and why. Then the primary is lost, and the
# timeline shows the failover.
# Usage: demo.sh [BUILD_FOLDER]. The script ends all processes that it started.
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

# Prints the first of twelve consecutive ports without a listener.
find_ports() {
    local first port busy
    for _ in $(seq 50); do
        first=$((11000 + RANDOM % 20000))
        busy=0
        for port in $(seq "$first" $((first + 11))); do
            if port_is_open "$port"; then
                busy=1
            fi
        done
        if [ "$busy" -eq 0 ]; then
            echo "$first"
            return
        fi
    done
    echo "demo: no free ports" >&2
    return 1
}

# Runs a command until it succeeds, for 30 s at most.
retry() {
    for _ in $(seq 300); do
        if "$@" >/dev/null 2>&1; then
            return
        fi
        sleep 0.1
    done
    echo "demo: never succeeded: $*" >&2
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
        --failure-domain "$domain" --port "$port" \
        --announce "127.0.0.1:$control_http" "$@"
    retry port_is_open "$port"
}

# Writes the settings of a daemon. Arguments: name, failure domain, role, RPC
# port, other members of "listen".
write_settings() {
    cat >"$work/$1.json" <<JSON
{
    "vm": "$1",
    "failure_domain": "$2",
    "roles": ["$3"],
    "listen": {"rpc": "127.0.0.1:$4", $5},
    "groups": [{"name": "fleet", "voters": [
        {"id": 1, "vm": "control", "rpc": "127.0.0.1:$control_rpc"}]}],
    "token_keys_file": "$work/token-keys",
    "upstream_follow_sql":
        "SELECT catkingrade_standin_follow('{host}:{port}')",
    "upstream_fence_sql": "SELECT catkingrade_standin_fence()",
    "data_dir": "$work/data-$1",
    "drain_notice_ms": 0
}
JSON
}

start_entry() {
    write_settings "$1" "$2" entry "$3" "\"postgres\": \"127.0.0.1:$4\""
    start "$1" "$build/catkingraded" --settings "$work/$1.json"
    retry port_is_open "$4"
}

write_declarations() {
    mkdir "$work/customers"
    cat >"$work/customers/roster.template.json" <<'JSON'
{
    // Roster services: schedules are read at a stated age, bookings are
    // saved once and confirmed by one replica.
    "template": "roster",
    "parameters": {
        "databases": {"type": "list"},
        "max_age_ms": {"type": "duration_ms", "min": 0, "max": 60000,
                       "default": 2000}
    },
    "customer": {
        "databases": "${databases}",
        "max_age_ms": "${max_age_ms}",
        "confirm": 1,
        "request_types": [
            {"name": "booking", "weight": 10, "deadline_ms": 8000,
             "queue_limit": 500, "repeatable": false, "max_age_ms": 0},
            {"name": "schedule", "weight": 3, "deadline_ms": 2000,
             "queue_limit": 500, "repeatable": true, "max_age_ms": 2000}
        ]
    }
}
JSON
    cat >"$work/customers/pootafdruk.customer.json" <<'JSON'
{
    "customer": "pootafdruk",
    "template": "roster",
    "parameters": {"databases": [{"name": "roster", "group": "fleet"}]}
}
JSON
}

operate() {
    "$build/catkingrade" --connect "127.0.0.1:$control_rpc" "$@"
}

# Runs statements at an entry as a caller would.
run_psql() {
    local port=$1
    shift
    psql -X -q -h 127.0.0.1 -p "$port" -U walker -d roster \
        -v ON_ERROR_STOP=1 "$@"
}

first=$(find_ports)
control_rpc=$first
control_http=$((first + 1))
upstreams=$((first + 2))
entry_a=$((first + 5))
entry_b=$((first + 7))
{
    printf '1 '
    head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n'
    echo
} >"$work/token-keys"

say "one control VM; a customer from a template"
write_settings control noord control "$control_rpc" \
    "\"http\": \"127.0.0.1:$control_http\""
start control "$build/catkingraded" --settings "$work/control.json" --bootstrap
retry port_is_open "$control_http"
write_declarations
retry operate customer list
operate plan -f "$work/customers" || [ $? -eq 2 ]
operate apply -f "$work/customers"

say "three stand-in upstreams; the replicas lag by 0.5 s and by 3 s"
start_upstream roster-noord noord "$upstreams"
primary=${pids[-1]}
retry sh -c "'$build/catkingrade' --connect 127.0.0.1:$control_rpc \
    upstream list | grep -q primary"
start_upstream roster-midden midden $((upstreams + 1)) \
    --primary-address "127.0.0.1:$upstreams" --lag-ms 500
start_upstream roster-zuid zuid $((upstreams + 2)) \
    --primary-address "127.0.0.1:$upstreams" --lag-ms 3000

say "two entries"
start_entry entry-noord noord "$entry_a" $((entry_a + 1))
start_entry entry-midden midden "$entry_b" $((entry_b + 1))
entry_a=$((entry_a + 1))
entry_b=$((entry_b + 1))
retry run_psql "$entry_a" -c "CREATE TABLE IF NOT EXISTS handovers
    (id int PRIMARY KEY, puppy text, family text)"
retry run_psql "$entry_b" -c "SELECT count(*) FROM handovers"
operate upstream list

say "entry A (noord): a booking"
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

say "the primary is lost; a booking at entry A until one is accepted"
echo "(it is confirmed once the replica that is left, which lags by 3 s, has it)"
kill -KILL "$primary"
wait "$primary" 2>/dev/null || true
lost_ms=$(date +%s%3N)
for id in $(seq 2 60); do
    if run_psql "$entry_a" \
        -c "INSERT INTO handovers VALUES ($id, 'Bram', 'Smit')" \
        -c "SHOW catkingrade.last_route" 2>"$work/refusal.txt"; then
        echo "accepted $(($(date +%s%3N) - lost_ms)) ms after the loss"
        break
    fi
    head -n 2 "$work/refusal.txt"
    sleep 0.1
done
run_psql "$entry_b" -c "SELECT * FROM handovers WHERE id = 1"
operate upstream list

say "time line of all daemons"
operate timeline --last 60

say "done"
