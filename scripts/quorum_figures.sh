#!/usr/bin/env bash
# Measures the controls of examples/local on loopback: claims per second and fsyncs per claim, the
# interruption after kill -9 of the leader, the time until a configuration change is in force at all
# entries, and the memory after many changes.
#
#   MGW_BIN_DIR=target/release scripts/quorum_figures.sh [CHANGES] [SECONDS]
#
# Needs `cargo build --release --workspace --bins` and
# `cargo build --release -p mgw-control --example claim_load`.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh
changes=${1:-100}
seconds=${2:-5}
start_system
load="$bin/examples/claim_load"
entry="http://127.0.0.1:${port_prefix}201"

metric() { # control, name
    curl -s "http://127.0.0.1:${port_prefix}10$1/metrics" | awk -v name="$2" '$1 == name { print $2 }'
}
leader_number() {
    local i
    for i in 1 2 3; do
        if [ "$(metric "$i" mgw_control_leads)" = 1 ]; then echo "$i"; return; fi
    done
}
memory_kib() { awk '/VmRSS/ { print $2 }' "/proc/${pids[$1]}/status"; }

log "claims: $(uptime)"
for callers in 1 16 64 256; do
    leader=$(leader_number)
    syncs_before=$(metric "$leader" mgw_control_syncs)
    line=$("$load" "$entry" "$callers" "$seconds" "rate-$callers")
    syncs_after=$(metric "$leader" mgw_control_syncs)
    completed_calls=$(echo "$line" | sed 's/.* done \([0-9]*\) .*/\1/')
    echo "$line leader_syncs $((syncs_after - syncs_before)) syncs_per_claim $(awk "BEGIN { printf \"%.3f\", ($syncs_after - $syncs_before) / ($completed_calls > 0 ? $completed_calls : 1) }")"
done

log "loss of the leader: $(uptime)"
for round in 1 2 3 4 5; do
    leader=$(leader_number)
    "$load" "$entry" 8 8 "loss-$round" >"$run_folder/loss.out" &
    load_pid=$!
    sleep 2
    kill -KILL "${pids[control-$leader]}"
    wait "${pids[control-$leader]}" 2>/dev/null || true
    wait "$load_pid"
    echo "loss $round of control-$leader: $(cat "$run_folder/loss.out")"
    spawn "control-$leader" mgw-control --config "control-$leader.toml"
    wait_until "all controls to vote" all_controls_vote
done

log "changes: $(uptime)"
for i in 1 2 3; do echo "memory before changes: control-$i $(memory_kib "control-$i") KiB"; done
data_folder_bytes() { du -b --summarize "$run_folder/control-$1.data" | cut -f1; }
data_bytes_before=$(data_folder_bytes "$(leader_number)")
: >"$run_folder/times"
for ((number = 1; number <= changes; number++)); do
    sed "0,/^weight = 30/s//weight = $((30 + number % 50 + 1))/" examples/inventory.toml >"$run_folder/change.toml"
    started_ns=$(date +%s%N)
    "$bin/mgw" config apply "$run_folder/change.toml" --base "$number" --change-id "c-$number" --wait 20 >/dev/null
    echo $((($(date +%s%N) - started_ns) / 1000000)) >>"$run_folder/times"
done
sort -n "$run_folder/times" | awk '{ all[NR] = $1 } END { printf "in force at all entries after ms: changes %d min %d p50 %d p90 %d p99 %d max %d\n", NR, all[1], all[int((NR + 1) / 2)], all[int(NR * 0.9)], all[int(NR * 0.99)], all[NR] }'
data_bytes_after=$(data_folder_bytes "$(leader_number)")
echo "data folder of the leader: $data_bytes_before bytes before, $data_bytes_after after"
for i in 1 2 3; do echo "memory after changes: control-$i $(memory_kib "control-$i") KiB"; done
log "end: $(uptime)"
stop_all
[ -z "$unclean_exits" ] || log "processes with a non-zero exit status:$unclean_exits"
