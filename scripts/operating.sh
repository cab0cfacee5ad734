#!/usr/bin/env bash
# Runs the commands of docs/OPERATIONS.md, as they stand there and in order, on a local system: each
# box that follows a line `<!-- run -->`. Exits with 1 at the first command that fails.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

page=$PWD/docs/OPERATIONS.md

# Prints the commands of all boxes, each after a line that names its place in the page.
print_commands() {
    awk '
        /^<!-- run -->$/ { marked = 1; next }
        marked && /^```sh$/ { marked = 0; inside = 1; print "echo \"== docs/OPERATIONS.md:" NR "\" >&2"; next }
        /^```$/ { inside = 0 }
        inside { print }
    ' "$page"
}

start_system
commands=$folder/commands.sh
print_commands >"$commands"
[ "$(grep -c '^echo "== ' "$commands")" -ge 5 ] || fail "the page has fewer marked boxes than expected"

cat >"$folder/functions.sh" <<'FUNCTIONS'
program_of() {
    case "$1" in
        control-*) echo mgw-control ;;
        entry-*) echo mgw-entry ;;
        *) echo mgw-standin ;;
    esac
}
start_process() {
    "$(program_of "$1")" --config "$1.toml" >>"$1.out" 2>>"$1.log" &
    echo $! >"$1.pid"
}
stop_process() {
    local process
    process=$(cat "$1.pid")
    kill -TERM "$process"
    while kill -0 "$process" 2>/dev/null; do sleep 0.1; done
}
FUNCTIONS

# Processes that the page started anew are no children of this shell; they are known by their files.
end_restarted() {
    local name now restarted=()
    for name in "${!pids[@]}"; do
        now=$(cat "$folder/$name.pid")
        [ "$now" != "${pids[$name]}" ] || continue
        wait "${pids[$name]}" || unclean="$unclean $name($?)"
        unset "pids[$name]"
        kill -TERM "$now" 2>/dev/null || true
        restarted+=("$now")
    done
    for now in "${restarted[@]}"; do
        while kill -0 "$now" 2>/dev/null; do sleep 0.1; done
    done
}
trap 'end_restarted; stop_all; exit 130' INT TERM
trap 'end_restarted; stop_all' EXIT

export PATH="$bin:$PATH" ENTRY_URL="http://127.0.0.1:${prefix}201"
export CONTROL_3_URL="http://127.0.0.1:${prefix}103"
limit_s=${MGW_PAGE_LIMIT_S:-180}
(cd "$folder" && timeout "$limit_s" bash -euo pipefail -c '. ./functions.sh; . ./commands.sh') \
    || fail "a command of the page"

end_restarted
stop_all
[ -z "$unclean" ] || { say "not ended cleanly:$unclean; logs are in $folder"; exit 1; }
say "all commands of docs/OPERATIONS.md ran"
rm -rf "$folder"
