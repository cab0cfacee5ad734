#!/usr/bin/env bash
# Runs the commands of docs/OPERATIONS.md on a local system, unchanged and in order: those of each
# code block that follows a line `<!-- run -->`. Exits with 1 at the first command that fails.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/lib.sh

page=$PWD/docs/OPERATIONS.md

# Prints the commands of all marked code blocks, each block after a command that prints its line
# number in the page.
print_commands() {
    awk '
        /^<!-- run -->$/ { marked = 1; next }
        marked && /^```sh$/ { marked = 0; inside = 1; print "echo \"== docs/OPERATIONS.md:" NR "\" >&2"; next }
        /^```$/ { inside = 0 }
        inside { print }
    ' "$page"
}

start_system
commands=$run_folder/commands.sh
print_commands >"$commands"
[ "$(grep -c '^echo "== ' "$commands")" -ge 5 ] || fail "docs/OPERATIONS.md has fewer than 5 code blocks marked with <!-- run -->"

cat >"$run_folder/functions.sh" <<'FUNCTIONS'
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

# Stops the processes that the page's commands restarted. They are not children of this shell, so
# their process ids come from the .pid files.
stop_restarted() {
    local name current_pid restarted=()
    for name in "${!pids[@]}"; do
        current_pid=$(cat "$run_folder/$name.pid")
        [ "$current_pid" != "${pids[$name]}" ] || continue
        wait "${pids[$name]}" || unclean_exits="$unclean_exits $name($?)"
        unset "pids[$name]"
        kill -TERM "$current_pid" 2>/dev/null || true
        restarted+=("$current_pid")
    done
    for current_pid in "${restarted[@]}"; do
        while kill -0 "$current_pid" 2>/dev/null; do sleep 0.1; done
    done
}
trap 'stop_restarted; stop_all; exit 130' INT TERM
trap 'stop_restarted; stop_all' EXIT

export PATH="$bin:$PATH" ENTRY_URL="http://127.0.0.1:${port_prefix}201"
export CONTROL_3_URL="http://127.0.0.1:${port_prefix}103"
limit_s=${MGW_PAGE_LIMIT_S:-180}
(cd "$run_folder" && timeout "$limit_s" bash -euo pipefail -c '. ./functions.sh; . ./commands.sh') \
    || fail "a command of docs/OPERATIONS.md, or the time limit of $limit_s s for all of them"

stop_restarted
stop_all
[ -z "$unclean_exits" ] || { log "processes with a non-zero exit status:$unclean_exits; logs are in $run_folder"; exit 1; }
log "all commands of docs/OPERATIONS.md ran"
rm -rf "$run_folder"
