# Measures the latency that a daemon adds: compares calls through a daemon with calls sent directly to a target, in one run.
# Sourced by bin/bench.
start_platform
start_farm 4 64 0
start_fleet latency 3 late-binding
accept_questionnaire 4 64
wait_fleet latency
sleep 2
daemon=${fleet_addresses[latency]%%,*}
direct=127.0.0.1:$((farm_port + 1))
run_program -Xmx512m io.anvilpick.load.LatencyMain --daemon "$daemon" --target "$direct" "$@"
