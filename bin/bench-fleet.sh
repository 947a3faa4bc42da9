# Functions that start and stop the processes of a benchmark. Sourced by bin/bench.
platform_port=18000
farm_port=18100
next_port=18300
work=$(mktemp -d "${TMPDIR:-/tmp}/anvilpick-bench.XXXXXX")
pids=()
declare -A fleet_addresses
declare -A fleet_peers
target_addresses=

stop_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill -9 "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

run_program() {
    "$JAVA_HOME/bin/java" "${java_flags[@]}" -cp "$(lib_dir)/*" "$@"
}

start() { # LOG_NAME, then JVM flags, main class and its arguments
    local log=$1
    shift
    "$JAVA_HOME/bin/java" "${java_flags[@]}" -cp "$(lib_dir)/*" "$@" >"$work/$log.out" 2>"$work/$log.err" &
    pids+=($!)
}

wait_for() { # ADDRESS PATH; waits up to 30 s for status 200
    local i
    for ((i = 0; i < 600; i++)); do
        if curl -sf -o /dev/null "http://$1$2"; then
            return 0
        fi
        sleep 0.05
    done
    echo "bench: no response with status 200 from $1$2 within 30 s" >&2
    cat "$work"/*.err >&2
    return 69
}

start_platform() {
    start platform -Xmx256m io.anvilpick.standins.PlatformMain --port $platform_port "$@"
    wait_for 127.0.0.1:$platform_port /v1/vms
}

start_farm() { # TARGETS SLOTS MEAN_MILLIS; starts all stand-in targets in one process
    local i
    start farm -Xmx1g io.anvilpick.standins.TargetMain --port $farm_port --count "$1" --slots "$2" --mean-ms "$3" \
        --write-ms "$3" --queue 2000
    target_addresses=
    for ((i = 1; i <= $1; i++)); do
        target_addresses=$target_addresses,127.0.0.1:$((farm_port + i))
    done
    target_addresses=${target_addresses#,}
    wait_for "127.0.0.1:$((farm_port + $1))" /health
}

start_fleet() { # NAME DAEMONS POLICY; the fleet forms a separate region called NAME
    local i addresses= peers=
    for ((i = 0; i < $2; i++)); do
        start "$1-$i" -Xmx256m io.anvilpick.daemon.DaemonMain --call-port $next_port --peer-port $((next_port + 1)) \
            --region "$1" --zone "z$((i % 3))" --platform "${platform_address:-127.0.0.1:$platform_port}" --policy "$3" \
            --warm-up-calls "${warm_up_calls:-0}"
        addresses=$addresses,127.0.0.1:$next_port
        peers=$peers,127.0.0.1:$((next_port + 1))
        next_port=$((next_port + 2))
    done
    fleet_addresses[$1]=${addresses#,}
    fleet_peers[$1]=${peers#,}
}

wait_fleet() { # NAME; waits until all daemons of the fleet are ready
    local address
    for address in ${fleet_addresses[$1]//,/ }; do
        wait_for "$address" /anvilpick/v1/ready
    done
}

accept_questionnaire() { # TARGETS SLOTS; accepts a configuration for the stand-in targets
    local public i
    public=$(run_program io.anvilpick.cli.OperatorCli keys "$work/operator.key")
    {
        cat <<YAML
contract: {operator: bench, publicKey: "$public", term: bench, endsAt: 2100-01-01T00:00:00Z}
zones: [z0, z1, z2]
tenants: [{name: a, weight: 1}, {name: b, weight: 1}, {name: c, weight: 1}]
services:
  - name: bench
    slotsPerTarget: $2
    connectionsPerTarget: 220
    measuringBudgetPercent: 1
    callsPerSecond: 2000
    rememberKeysFor: 1h
    requests:
      - {name: lookup, method: GET, path: /rows, nonIdempotent: no, answerWithin: 1s, urgency: high}
      - {name: charge, method: POST, path: /charges, nonIdempotent: yes, answerWithin: 3s, urgency: high}
    targets:
YAML
        for ((i = 1; i <= $1; i++)); do
            echo "      - {id: t$i, address: \"127.0.0.1:$((farm_port + i))\", zone: z$((i % 3))}"
        done
    } >"$work/questionnaire.yaml"
    run_program io.anvilpick.cli.OperatorCli accept --platform 127.0.0.1:$platform_port --version 0 \
        --key "$work/operator.key" "$work/questionnaire.yaml" >&2
}
