# Processes of a measurement, for scripts to source: start, told, finish. All that was started is ended
# by its id when the script ends.
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
    : >"$work/$name"
    "$@" >"$work/$name" 2>"$work/$name.log" &
    id=$!
    started="$id $started"
    tries=100
    while [ "$tries" -gt 0 ] && ! [ -s "$work/$name" ]; do
        tries=$((tries - 1))
        sleep 0.1
    done
    line=$(head -n 1 "$work/$name")
}

# Word after WORD in $line.
told() {
    echo "$line" | tr ' ' '\n' | sed -n "/^$1\$/{n;p;q;}"
}
