# Measures charges during a platform outage of one minute: with five daemons, after the loss of one, and after the loss of
# two. Then measures how many charges per second one daemon handles. Sourced by bin/bench.
warm_up_calls=8000
start_platform
start_farm 8 64 2
first=${#pids[@]}
start_fleet outage 5 late-binding
accept_questionnaire 8 64
wait_fleet outage

daemons_left() { # COUNT; prints the addresses of the first COUNT daemons, separated by commas
    cut -d, -f "1-$1" <<<"${fleet_addresses[outage]}"
}
await_replicas() { # waits until every claim group has five replicas, then 2 s for all daemons to receive the claim map
    local address map i
    for ((i = 0; i < 300; i++)); do
        map=$(curl -sf "http://127.0.0.1:$platform_port/v1/kv?key=claims/outage/map" || true)
        if [ "$(grep -o "127.0.0.1:[0-9]*#" <<<"$map" | wc -l)" = 320 ]; then
            sleep 2
            return 0
        fi
        sleep 0.1
    done
    echo "bench: not all claim groups have five replicas after 30 s" >&2
    return 69
}
charge() { # DAEMONS CHARGES_PER_SECOND SECONDS; prints the report of the load generator
    run_program -Xmx512m io.anvilpick.load.LoadMain --daemons "$1" --direct --call "bench,POST,/charges,$2,a" \
        --call "bench,GET,/rows,$2,a" --seconds "$3" --warmup-seconds 1 2>"$work/load.err" || true
}
shares() { # TITLE; converts a report on standard input to a table row
    awk -v title="$1" '$2 == "POST" { row = $0 } /^calls=/ { summary = $0 }
        END { split(row, f, /[ \t]+/); n = f[5]; refused = f[10]; unknown = f[11];
              printf "| %s | %d | %.2f%% | %.2f%% | %.2f%% | %s | %s |\n", title, n,
                  100 * (n - refused - unknown) / n, 100 * refused / n, 100 * unknown / n, f[6], f[8] }'
}
await_replicas
charge "$(daemons_left 5)" 100 20 >/dev/null
echo "| charges, 100 a second, platform down | charges | served | not_run | unknown | p50 ms | p99 ms |"
echo "|---|---:|---:|---:|---:|---:|---:|"
charge "$(daemons_left 5)" 100 20 | shares "platform up, five daemons"
curl -sf -o /dev/null "http://127.0.0.1:$platform_port/admin/faults?down=true"
charge "$(daemons_left 5)" 100 20 | shares "seconds 0 to 20, five daemons"
kill -9 "${pids[$((first + 4))]}"
charge "$(daemons_left 4)" 100 20 | shares "20 to 40, one of them killed"
kill -9 "${pids[$((first + 3))]}"
charge "$(daemons_left 3)" 100 20 | shares "40 to 60, two killed"
curl -sf -o /dev/null "http://127.0.0.1:$platform_port/admin/faults?down=false"
sleep 5
charge "$(daemons_left 3)" 100 20 | shares "platform back, three daemons"
echo
echo "| charges a second at one daemon of three | charges | served | not_run | unknown | p50 ms | p99 ms |"
echo "|---|---:|---:|---:|---:|---:|---:|"
for rate in 100 200 400 800 1600; do
    charge "$(daemons_left 1)" "$rate" 10 | shares "$rate"
done
