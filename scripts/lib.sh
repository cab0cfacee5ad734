# Functions shared by the scripts that run the whole system on loopback from examples/local. This
# file is sourced: the caller sets -euo pipefail and runs in the repository's root folder.
#
# Every run uses a new temporary folder and its own ports, and stops only the processes that it
# started.

# Prints a message to standard error.
log() { printf '%s\n' "$*" >&2; }

# Sets `bin` to the folder of the programs: MGW_BIN_DIR if set, else the debug programs, which it
# builds.
locate_programs() {
    local profile_dir=${MGW_BIN_DIR:-}
    if [ -z "$profile_dir" ]; then
        cargo build --workspace --bins --locked --quiet
        profile_dir=${CARGO_TARGET_DIR:-target}/debug
    fi
    bin=$(cd "$profile_dir" && pwd)
}

port_in_use() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# Reserves ports for this run. The settings use addresses 127.0.0.1:PPnnn; sets `port_prefix` to
# digits PP with which all of these ports are free, and `port_lock` to the lock folder that reserves
# them.
reserve_ports() {
    local ports candidate owner free port
    ports=$(grep -hoE '127\.0\.0\.1:17[0-9]{3}' examples/local/*.toml | sort -u | sed 's/.*:17//')
    port_prefix=""
    for candidate in 17 18 19 20 21 22 23 24 25 26 27 28 29 30 31; do
        port_lock="${TMPDIR:-/tmp}/mgw-local-ports-$candidate"
        if ! mkdir "$port_lock" 2>/dev/null; then
            owner=$(cat "$port_lock/pid" 2>/dev/null || echo "")
            if [ -z "$owner" ] || kill -0 "$owner" 2>/dev/null; then continue; fi
            rm -rf "$port_lock"
            mkdir "$port_lock" 2>/dev/null || continue
        fi
        echo $$ >"$port_lock/pid"
        free=true
        for port in $ports; do
            if port_in_use "$candidate$port"; then free=false; break; fi
        done
        if $free; then port_prefix=$candidate; break; fi
        rm -rf "$port_lock"
    done
    [ -n "$port_prefix" ] || { log "no free ports: all prefixes from 17 to 31 are reserved or have a port in use"; exit 1; }
}

# Creates the folder of this run, with settings for its ports; sets `run_folder`.
create_run_folder() {
    local file
    run_folder=$(mktemp -d "${TMPDIR:-/tmp}/mgw-local.XXXXXX")
    for file in examples/local/*.toml; do
        sed "s/127\.0\.0\.1:17/127.0.0.1:$port_prefix/g" "$file" >"$run_folder/$(basename "$file")"
    done
    cp examples/inventory.toml "$run_folder/inventory.toml"
    printf %s example-key-anika-not-for-production >"$run_folder/operator.key"
    "$bin/mgw" group-keys "$run_folder/keys" control-{1,2,3} entry-{1,2,3,4,5,6} >/dev/null
}

# Process ids of the running processes, by name.
declare -A pids=()

# Starts a program in the run's folder and records its process id.
spawn() { # name, program, arguments
    local name=$1 program=$2
    shift 2
    (cd "$run_folder" && exec "$bin/$program" "$@" >>"$name.out" 2>>"$name.log") &
    pids[$name]=$!
    echo "${pids[$name]}" >"$run_folder/$name.pid"
}

# Sends SIGTERM to processes and waits for them; kills those still running after 400 polls of 0.1 s.
# Adds to `unclean_exits` the names and statuses of processes that did not exit with status 0.
unclean_exits=""
stop_processes() {
    local name
    for name in "$@"; do kill -TERM "${pids[$name]}" 2>/dev/null || true; done
    for name in "$@"; do
        local status=0 polls=0
        while kill -0 "${pids[$name]}" 2>/dev/null; do
            polls=$((polls + 1))
            if [ "$polls" -gt 400 ]; then kill -KILL "${pids[$name]}" 2>/dev/null || true; fi
            sleep 0.1
        done
        wait "${pids[$name]}" 2>/dev/null || status=$?
        [ "$status" = 0 ] || unclean_exits="$unclean_exits $name($status)"
        unset "pids[$name]"
    done
}

# Prints the names of running processes that match a pattern.
process_names_matching() { local name; for name in "${!pids[@]}"; do case "$name" in $1) echo "$name" ;; esac; done; }

# Stops all processes: entries first, then targets, then controls.
stop_all() {
    trap - INT TERM EXIT
    stop_processes $(process_names_matching 'entry-*')
    stop_processes $(process_names_matching '*-engine-*') $(process_names_matching '*-train-app')
    stop_processes $(process_names_matching 'control-*')
    rm -rf "$port_lock"
}

# Reports a failure with the last lines of every log, and exits with status 1.
fail() {
    log "failed: $1; logs are in $run_folder"
    tail -n 5 "$run_folder"/*.log >&2 || true
    exit 1
}

# Repeats a command until it succeeds. Fails after 600 attempts, or when a process has exited.
wait_until() { # description, command...
    local description=$1 attempts=0
    shift
    until "$@" >"$run_folder/ready.out" 2>"$run_folder/ready.err"; do
        attempts=$((attempts + 1))
        [ "$attempts" -lt 600 ] || fail "timed out waiting for $description: $(tail -n 1 "$run_folder/ready.err")"
        local name
        for name in "${!pids[@]}"; do
            kill -0 "${pids[$name]}" 2>/dev/null || fail "$name exited while waiting for $description"
        done
        sleep 0.1
    done
}

all_targets_selectable() {
    "$bin/mgw" --at "http://127.0.0.1:${port_prefix}201" targets >"$run_folder/targets.txt" \
        && [ "$(grep -cE ' (ready) +yes ' "$run_folder/targets.txt")" = ${#standins[@]} ]
}
all_controls_vote() {
    [ "$("$bin/mgw" status | grep -cE '^control-[0-9] +(leader|follower) +yes ')" = 3 ]
}

# Starts three controls, six entries, nine engine stand-ins and three instances of a plain service,
# applies the first configuration and waits until all targets and controls are ready. Sets
# `standins`, and the environment variables that `mgw` reads.
start_system() {
    local i file name
    locate_programs
    reserve_ports
    create_run_folder
    trap 'stop_all; exit 130' INT TERM
    trap 'stop_all' EXIT
    spawn control-1 mgw-control --config control-1.toml --found
    for i in 2 3; do spawn "control-$i" mgw-control --config "control-$i.toml"; done
    for i in 1 2 3 4 5 6; do spawn "entry-$i" mgw-entry --config "entry-$i.toml"; done
    standins=()
    for file in "$run_folder"/*-engine-*.toml "$run_folder"/*-train-app.toml; do
        name=$(basename "$file" .toml)
        standins+=("$name")
        spawn "$name" mgw-standin --config "$name.toml"
    done

    export MGW_AT="http://127.0.0.1:${port_prefix}101,http://127.0.0.1:${port_prefix}102,http://127.0.0.1:${port_prefix}103"
    export MGW_OPERATOR=anika MGW_KEY_FILE="$run_folder/operator.key"
    wait_until "the first configuration" \
        "$bin/mgw" config apply "$run_folder/inventory.toml" --base 0 --change-id first --wait 10
    wait_until "all targets to be selectable" all_targets_selectable
    wait_until "all controls to vote" all_controls_vote
}
