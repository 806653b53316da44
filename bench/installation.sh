# Functions for measurements with real processes: three daemons with the roles
# entry and control, and three fake upstreams, all on loopback. The script that
# sources this file sets `build` to the build folder. All started processes end
# with that script.
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

# Starts a process under a name and records its process ID.
start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids[$name]=$!
}

# Prints the settings of a daemon.
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

# Writes the template and the customer that are applied after the start.
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

# Starts the daemons and upstreams on ports from the given one on, and creates
# the customer. Sets `cli` to the command line that reaches the daemons.
start_installation() {
    local base=$1
    cli="$build/catkingrade -c 127.0.0.1:$((base + 11))"
    rm -rf "$work"/data*
    declarations
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
}

# Kills all started processes and waits for their end.
stop_installation() {
    for name in "${!pids[@]}"; do
        kill -9 "${pids[$name]}" 2>/dev/null || true
        wait "${pids[$name]}" 2>/dev/null || true
        unset "pids[$name]"
    done
}

# Prints the first port of a random block of 100 ports below the ephemeral
# range.
find_base() {
    echo $((11000 + RANDOM % 200 * 100))
}
