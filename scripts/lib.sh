# Shared parts of the scripts that run the whole system on loopback from examples/local.
# Sourced, not run; the caller has set -euo pipefail and stands in the repository's root.
#
# Every run uses a fresh temporary folder and ports of its own; only processes started here are
# stopped.

say() { printf '%s\n' "$*" >&2; }

# Builds the programs if MGW_BIN_DIR names none; sets `bin`.
find_programs() {
    local profile_dir=${MGW_BIN_DIR:-}
    if [ -z "$profile_dir" ]; then
        cargo build --workspace --bins --locked --quiet
        profile_dir=${CARGO_TARGET_DIR:-target}/debug
    fi
    bin=$(cd "$profile_dir" && pwd)
}

port_is_used() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# Ports are 127.0.0.1:PPnnn; sets `prefix` to two leading digits with which all of them are free,
# and `lock` to the folder that holds them for this run.
take_ports() {
    local ports candidate owner free port
    ports=$(grep -hoE '127\.0\.0\.1:17[0-9]{3}' examples/local/*.toml | sort -u | sed 's/.*:17//')
    prefix=""
    for candidate in 17 18 19 20 21 22 23 24 25 26 27 28 29 30 31; do
        lock="${TMPDIR:-/tmp}/mgw-local-ports-$candidate"
        if ! mkdir "$lock" 2>/dev/null; then
            owner=$(cat "$lock/pid" 2>/dev/null || echo "")
            if [ -z "$owner" ] || kill -0 "$owner" 2>/dev/null; then continue; fi
            rm -rf "$lock"
            mkdir "$lock" 2>/dev/null || continue
        fi
        echo $$ >"$lock/pid"
        free=true
        for port in $ports; do
            if port_is_used "$candidate$port"; then free=false; break; fi
        done
        if $free; then prefix=$candidate; break; fi
        rm -rf "$lock"
    done
    [ -n "$prefix" ] || { say "no free block of ports"; exit 1; }
}

# Makes the run's folder with settings for its ports; sets `folder`.
make_folder() {
    local file
    folder=$(mktemp -d "${TMPDIR:-/tmp}/mgw-local.XXXXXX")
    for file in examples/local/*.toml; do
        sed "s/127\.0\.0\.1:17/127.0.0.1:$prefix/g" "$file" >"$folder/$(basename "$file")"
    done
    cp examples/inventory.toml "$folder/inventory.toml"
    printf %s example-key-anika-not-for-production >"$folder/operator.key"
    "$bin/mgw" group-keys "$folder/keys" control-{1,2,3} entry-{1,2,3,4,5,6} >/dev/null
}

declare -A pids=()
start() { # name, program, arguments
    local name=$1 program=$2
    shift 2
    (cd "$folder" && exec "$bin/$program" "$@" >>"$name.out" 2>>"$name.log") &
    pids[$name]=$!
    echo "${pids[$name]}" >"$folder/$name.pid"
}

# Asks processes to end; adds to `unclean` the names of those that did not end by themselves with
# status 0.
unclean=""
stop_group() {
    local name
    for name in "$@"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
    for name in "$@"; do
        local status=0 looks=0
        while kill -0 "${pids[$name]}" 2>/dev/null; do
            looks=$((looks + 1))
            if [ "$looks" -gt 400 ]; then kill -KILL "${pids[$name]}" 2>/dev/null || true; fi
            sleep 0.1
        done
        wait "${pids[$name]}" 2>/dev/null || status=$?
        [ "$status" = 0 ] || unclean="$unclean $name($status)"
        unset "pids[$name]"
    done
}

names_like() { local name; for name in "${!pids[@]}"; do case "$name" in $1) echo "$name" ;; esac; done; }

# Ends all processes in the order entries, targets, controls.
stop_all() {
    trap - INT TERM EXIT
    stop_group $(names_like 'entry-*')
    stop_group $(names_like '*-engine-*') $(names_like '*-train-app')
    stop_group $(names_like 'control-*')
    rm -rf "$lock"
}

fail() {
    say "failed: $1; logs are in $folder"
    tail -n 5 "$folder"/*.log >&2 || true
    exit 1
}

# Repeats a command until it succeeds, as long as all processes run.
until_ready() { # what, command...
    local what=$1 tries=0
    shift
    until "$@" >"$folder/ready.out" 2>"$folder/ready.err"; do
        tries=$((tries + 1))
        [ "$tries" -lt 600 ] || fail "$what: $(tail -n 1 "$folder/ready.err")"
        local name
        for name in "${!pids[@]}"; do
            kill -0 "${pids[$name]}" 2>/dev/null || fail "$name has ended"
        done
        sleep 0.1
    done
}

targets_are_in_choice() {
    "$bin/mgw" --at "http://127.0.0.1:${prefix}201" targets >"$folder/targets.txt" \
        && [ "$(grep -cE ' (ready) +yes ' "$folder/targets.txt")" = ${#standins[@]} ]
}
all_controls_vote() {
    [ "$("$bin/mgw" status | grep -cE '^control-[0-9] +(leader|follower) +yes ')" = 3 ]
}

# Starts three controls, six entries, nine engine stand-ins and three instances of a plain service,
# and applies the first configuration; sets `standins` and the environment of `mgw`.
start_system() {
    local i file name
    find_programs
    take_ports
    make_folder
    trap 'stop_all; exit 130' INT TERM
    trap 'stop_all' EXIT
    start control-1 mgw-control --config control-1.toml --found
    for i in 2 3; do start "control-$i" mgw-control --config "control-$i.toml"; done
    for i in 1 2 3 4 5 6; do start "entry-$i" mgw-entry --config "entry-$i.toml"; done
    standins=()
    for file in "$folder"/*-engine-*.toml "$folder"/*-train-app.toml; do
        name=$(basename "$file" .toml)
        standins+=("$name")
        start "$name" mgw-standin --config "$name.toml"
    done

    export MGW_AT="http://127.0.0.1:${prefix}101,http://127.0.0.1:${prefix}102,http://127.0.0.1:${prefix}103"
    export MGW_OPERATOR=anika MGW_KEY_FILE="$folder/operator.key"
    until_ready "first configuration" \
        "$bin/mgw" config apply "$folder/inventory.toml" --base 0 --change-id first --wait 10
    until_ready "targets" targets_are_in_choice
    until_ready "controls" all_controls_vote
}
