#!/usr/bin/env bash
# Measures the resource use of the processes of a local system: CPU time, resident memory and bytes
# of views, first idle and then under a load of completions.
#
#   scripts/process_cost.sh [RATE...]     requests per second, 20 by default, 32 tokens each
#
# Prints one line for each process and phase. Meaningful figures need release programs:
# cargo build --release --bins; MGW_BIN_DIR=target/release scripts/process_cost.sh
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

rates=("${@:-20}")
phase_s=20
ticks_per_s=$(getconf CLK_TCK)

cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
resident_kib() { awk '/^VmRSS:/ { print $2 }' "/proc/$1/status"; }
metric() { # base URL, name
    curl -s "$1/metrics" | awk -v name="$2" '$1 == name { print $2; found = 1 } END { if (!found) print 0 }'
}
url_of() { # process
    case "$1" in
        control-*) echo "http://127.0.0.1:${port_prefix}10${1#control-}" ;;
        entry-*) echo "http://127.0.0.1:${port_prefix}20${1#entry-}" ;;
    esac
}

# Prints the bytes received and sent over the connections that a control accepted at its peer
# address, without TCP and IP headers.
peer_bytes() { # control number
    ss -tinH "sport = :${port_prefix}11$1" | awk '
        { for (i = 1; i <= NF; i++) if (split($i, part, ":") == 2) {
            if (part[1] == "bytes_sent") sent += part[2]
            if (part[1] == "bytes_received") received += part[2] } }
        END { printf "%d %d", received, sent }'
}

measured=()
for i in 1 2 3; do measured+=("control-$i"); done
for i in 1 2 3 4 5 6; do measured+=("entry-$i"); done

declare -A ticks=() views=() tokens=() steps=() bytes_in=() bytes_out=()
# Records the counters of all processes at the start of a phase.
record_start() {
    local name url
    for name in "${measured[@]}"; do
        url=$(url_of "$name")
        ticks[$name]=$(cpu_ticks "${pids[$name]}")
        views[$name]=$(metric "$url" mgw_view_bytes_total)
        tokens[$name]=$(metric "$url" mgw_tokens_total)
        steps[$name]=$(metric "$url" mgw_steps_total)
    done
    local i received sent
    for i in 1 2 3; do
        read -r received sent <<<"$(peer_bytes "$i")"
        bytes_in[$i]=$received
        bytes_out[$i]=$sent
    done
    started_ms=$(date +%s%3N)
}
# Prints the change of all counters per second since the start of the phase.
print_rates() { # phase
    local name url phase_ms
    phase_ms=$(($(date +%s%3N) - started_ms))
    for name in "${measured[@]}"; do
        url=$(url_of "$name")
        echo "$1 $name" \
            $((($(cpu_ticks "${pids[$name]}") - ticks[$name]) * 1000000 / ticks_per_s / phase_ms)) \
            "$(resident_kib "${pids[$name]}")" \
            $((($(metric "$url" mgw_view_bytes_total) - views[$name]) * 1000 / phase_ms)) \
            $((($(metric "$url" mgw_tokens_total) - tokens[$name]) * 1000 / phase_ms)) \
            $((($(metric "$url" mgw_steps_total) - steps[$name]) * 1000 / phase_ms))
    done
    local i received sent
    for i in 1 2 3; do
        read -r received sent <<<"$(peer_bytes "$i")"
        echo "$1 peers-of-control-$i" \
            "in_B/s=$(((received - bytes_in[$i]) * 1000 / phase_ms))" \
            "out_B/s=$(((sent - bytes_out[$i]) * 1000 / phase_ms))" \
            "leads=$(metric "$(url_of "control-$i")" mgw_control_leads)" \
            "syncs=$(metric "$(url_of "control-$i")" mgw_control_syncs)"
    done
}

start_system
uptime
sleep 10
echo "phase process cpu_ms/s rss_KiB view_B/s tokens/s steps/s"
record_start
sleep "$phase_s"
print_rates idle
entries=()
for i in 1 2 3 4 5 6; do entries+=(--entry "http://127.0.0.1:${port_prefix}20$i"); done
for rate in "${rates[@]}"; do
    record_start
    "$bin/mgw-load" "${entries[@]}" --workspace classrooms --rate "$rate" --duration-s "$phase_s" \
        --max-tokens 32 --seed 1 --verify >"$run_folder/load.txt" || log "mgw-load exited with status $?"
    print_rates "rate-$rate"
    cat "$run_folder/load.txt"
done
uptime
stop_all
[ -z "$unclean_exits" ] || { log "processes with a non-zero exit status:$unclean_exits; logs are in $run_folder"; exit 1; }
rm -rf "$run_folder"
