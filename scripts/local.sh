#!/usr/bin/env bash
# Starts the whole system on loopback from examples/local: three controls, six entries, nine engine
# stand-ins and three instances of a plain service. Sends one drill-scenario request and prints the
# streamed answer.
#
#   scripts/local.sh          keeps running until Ctrl-C
#   scripts/local.sh --once   exits with 0 after the whole answer and a clean shutdown
#
# Every run uses a new temporary folder and its own ports, and stops only the processes that it
# started.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

once=false
case "${1:-}" in
    "") ;;
    --once) once=true ;;
    *) echo "usage: scripts/local.sh [--once]" >&2; exit 2 ;;
esac

start_system
log "ready: $(wc -l <"$run_folder/targets.txt" | tr -d ' ') lines in $run_folder/targets.txt"

entries=()
for i in 1 2 3 4 5 6; do entries+=(--entry "http://127.0.0.1:${port_prefix}20$i"); done
"$bin/mgw-load" once "${entries[@]}" --workspace classrooms --model drill --max-tokens 24 --verify \
    --prompt "Draft an evacuation drill scenario for a twelve floor office tower in Port of Spain" \
    || fail "the completion request"

log ""
log "to send a request of your own:"
log "  curl -N http://127.0.0.1:${port_prefix}201/v1/completions -H 'x-mgw-workspace: classrooms' \\"
log "    -d '{\"model\":\"drill\",\"prompt\":\"which extinguisher class\",\"max_tokens\":16,\"stream\":true}'"
log "to operate the system:"
log "  export MGW_AT=$MGW_AT MGW_OPERATOR=anika MGW_KEY_FILE=$MGW_KEY_FILE; $bin/mgw status"

if ! $once; then
    log "running in $run_folder; press Ctrl-C to stop"
    wait
fi

stop_all
[ -z "$unclean_exits" ] || { log "processes with a non-zero exit status:$unclean_exits; logs are in $run_folder"; exit 1; }
"$bin/mgw-standin" check-journals "$run_folder"/*.journal
rm -rf "$run_folder"
