#!/usr/bin/env bash
# Starts the whole system on loopback from examples/local: three controls, six entries, nine engine
# stand-ins and three instances of a plain service; sends one drill-scenario request and prints the streamed answer.
#
#   scripts/local.sh          keep running until Ctrl-C
#   scripts/local.sh --once   exit 0 after the whole answer and a clean shutdown
#
# Every run uses a fresh temporary folder and ports of its own; only processes started here are
# stopped.
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
say "ready: $(wc -l <"$folder/targets.txt" | tr -d ' ') lines in $folder/targets.txt"

entries=()
for i in 1 2 3 4 5 6; do entries+=(--entry "http://127.0.0.1:${prefix}20$i"); done
"$bin/mgw-load" once "${entries[@]}" --workspace classrooms --model drill --max-tokens 24 --verify \
    --prompt "Draft an evacuation drill scenario for a twelve floor office tower in Port of Spain" \
    || fail "the request"

say ""
say "send your own:"
say "  curl -N http://127.0.0.1:${prefix}201/v1/completions -H 'x-mgw-workspace: classrooms' \\"
say "    -d '{\"model\":\"drill\",\"prompt\":\"which extinguisher class\",\"max_tokens\":16,\"stream\":true}'"
say "operate it:"
say "  export MGW_AT=$MGW_AT MGW_OPERATOR=anika MGW_KEY_FILE=$MGW_KEY_FILE; $bin/mgw status"

if ! $once; then
    say "running in $folder; Ctrl-C ends it"
    wait
fi

stop_all
[ -z "$unclean" ] || { say "not ended cleanly:$unclean; logs are in $folder"; exit 1; }
"$bin/mgw-standin" check-journals "$folder"/*.journal
rm -rf "$folder"
