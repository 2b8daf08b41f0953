# Helpers of the cases' run.sh. A case sets `here` and `work` and calls these from the repository's root.
case_begin() {
    here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
    cd "$here/../.."
    standins=build/review
    work=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX")
    pids=()
    trap case_end EXIT
    run_line=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
    [ -n "$run_line" ] && [ -x build/copperfront ] || exit 2
}
case_end() {
    local status=$? pid
    for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
    [ -f "$work/record.txt" ] && cp "$work/record.txt" "$here/record.txt"
    rm -rf "$work"
    exit "$status"
}
# start_gateway NAME FILE: the operators' command, with its log in $work/NAME.log; its id in $gateway_pid.
start_gateway() {
    ROUTER_NAME=$1 ROUTER_CONFIG=$2 /bin/sh -c "$run_line" 2> "$work/$1.log" > /dev/null &
    gateway_pid=$!
    pids+=("$gateway_pid")
}
# wait_file FILE: up to 10 s.
wait_file() {
    local n
    for n in $(seq 200); do [ -e "$1" ] && return 0; sleep 0.05; done
    exit 2
}
