#!/usr/bin/env bash
# Measures what the processes of a local system cost: processor time, resident memory and bytes of
# views, first without work and then under a load of completions.
#
#   scripts/process_cost.sh [RATE...]     requests a second, 20 by default, 32 tokens each
#
# Prints one line for each process and phase. Figures need release programs:
# cargo build --release --bins; MGW_BIN_DIR=target/release scripts/process_cost.sh
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

rates=("${@:-20}")
span_s=20
ticks_per_s=$(getconf CLK_TCK)

cpu_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
resident_kib() { awk '/^VmRSS:/ { print $2 }' "/proc/$1/status"; }
metric() { # base URL, name
    curl -s "$1/metrics" | awk -v name="$2" '$1 == name { print $2; found = 1 } END { if (!found) print 0 }'
}
url_of() { # process
    case "$1" in
        control-*) echo "http://127.0.0.1:${prefix}10${1#control-}" ;;
        entry-*) echo "http://127.0.0.1:${prefix}20${1#entry-}" ;;
    esac
}

# Bytes that came in and went out over the connections taken at a control's address for the
# system's own processes, headers of TCP and IP left out.
peer_bytes() { # control number
    ss -tinH "sport = :${prefix}11$1" | awk '
        { for (i = 1; i <= NF; i++) if (split($i, part, ":") == 2) {
            if (part[1] == "bytes_sent") out += part[2]
            if (part[1] == "bytes_received") into += part[2] } }
        END { printf "%d %d", into, out }'
}

measured=()
for i in 1 2 3; do measured+=("control-$i"); done
for i in 1 2 3 4 5 6; do measured+=("entry-$i"); done

declare -A ticks=() views=() tokens=() steps=() taken=() given=()
note_start() {
    local name url
    for name in "${measured[@]}"; do
        url=$(url_of "$name")
        ticks[$name]=$(cpu_ticks "${pids[$name]}")
        views[$name]=$(metric "$url" mgw_view_bytes_total)
        tokens[$name]=$(metric "$url" mgw_tokens_total)
        steps[$name]=$(metric "$url" mgw_steps_total)
    done
    local i into out
    for i in 1 2 3; do
        read -r into out <<<"$(peer_bytes "$i")"
        taken[$i]=$into
        given[$i]=$out
    done
    started_ms=$(date +%s%3N)
}
print_span() { # phase
    local name url span_ms
    span_ms=$(($(date +%s%3N) - started_ms))
    for name in "${measured[@]}"; do
        url=$(url_of "$name")
        echo "$1 $name" \
            $((($(cpu_ticks "${pids[$name]}") - ticks[$name]) * 1000000 / ticks_per_s / span_ms)) \
            "$(resident_kib "${pids[$name]}")" \
            $((($(metric "$url" mgw_view_bytes_total) - views[$name]) * 1000 / span_ms)) \
            $((($(metric "$url" mgw_tokens_total) - tokens[$name]) * 1000 / span_ms)) \
            $((($(metric "$url" mgw_steps_total) - steps[$name]) * 1000 / span_ms))
    done
    local i into out
    for i in 1 2 3; do
        read -r into out <<<"$(peer_bytes "$i")"
        echo "$1 peers-of-control-$i" \
            "in_B/s=$(((into - taken[$i]) * 1000 / span_ms))" \
            "out_B/s=$(((out - given[$i]) * 1000 / span_ms))" \
            "leads=$(metric "$(url_of "control-$i")" mgw_control_leads)" \
            "syncs=$(metric "$(url_of "control-$i")" mgw_control_syncs)"
    done
}

start_system
uptime
sleep 10
echo "phase process cpu_ms/s rss_KiB view_B/s tokens/s steps/s"
note_start
sleep "$span_s"
print_span idle
entries=()
for i in 1 2 3 4 5 6; do entries+=(--entry "http://127.0.0.1:${prefix}20$i"); done
for rate in "${rates[@]}"; do
    note_start
    "$bin/mgw-load" "${entries[@]}" --workspace classrooms --rate "$rate" --duration-s "$span_s" \
        --max-tokens 32 --seed 1 --verify >"$folder/load.txt" || say "mgw-load ended with $?"
    print_span "rate-$rate"
    cat "$folder/load.txt"
done
uptime
stop_all
[ -z "$unclean" ] || { say "not ended cleanly:$unclean; logs are in $folder"; exit 1; }
rm -rf "$folder"
