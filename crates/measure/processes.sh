# Processes of a measurement, for scripts to source: start, told, finish. All that was started is ended
# by its id when the script ends.

# Tries, 0.1 s apart, for a process to say where it listens.
tries=100

work=$(mktemp -d)
started=

finish() {
    for id in $started; do
        kill "$id" 2>/dev/null || true
    done
    for id in $started; do
        wait "$id" 2>/dev/null || true
    done
    started=
}
trap 'finish; rm -rf "$work"' EXIT
trap 'exit 1' INT TERM HUP

# start NAME PROGRAM ARGUMENT...: leaves its id in $id and its first line in $line.
start() {
    name=$1
    shift
    # Its reader may come before the process does.
    : >"$work/$name"
    "$@" >"$work/$name" 2>"$work/$name.log" &
    id=$!
    started="$id $started"
    left=$tries
    while [ "$left" -gt 0 ] && ! [ -s "$work/$name" ]; do
        left=$((left - 1))
        sleep 0.1
    done
    line=$(head -n 1 "$work/$name")
    if [ -z "$line" ]; then
        echo "step start, process $name: no address" >&2
        cat "$work/$name.log" >&2
        exit 1
    fi
}

# Word after WORD in $line.
told() {
    echo "$line" | tr ' ' '\n' | sed -n "/^$1\$/{n;p;q;}"
}
