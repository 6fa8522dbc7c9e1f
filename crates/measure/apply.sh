#!/bin/sh
# Measures what an operator's `apply` takes: apply.sh [FOLDER].
#
# FOLDER holds the programs of one build (default: target/release). For each number of adapters a
# first configuration is applied to an empty stand-in log, then one with a version changed; time and
# greatest resident memory come from the system's accounts. What was started is ended by its id.
set -eu

bin=${1:-target/release}
work=$(mktemp -d)
log_id=
trap 'if [ -n "$log_id" ]; then kill "$log_id"; fi; rm -rf "$work"' EXIT
trap 'exit 1' INT TERM HUP

# write COUNT PATH: a configuration whose first adapter's version stands at PATH.
write() {
    echo "[base.m]"
    echo "context = 4096"
    n=0
    while [ "$n" -lt "$1" ]; do
        path=a$n/v1
        [ "$n" -gt 0 ] || path=$2
        printf "[adapter.a%s]\nbase = 'm'\nversion.v1.path = '%s'\n" "$n" "$path"
        n=$((n + 1))
    done
}

# report WHAT COUNT FILE: applies FILE and prints a line.
report() {
    python3 - "$1" "$2" "$bin/pumicecleat" apply --log "$log" "$3" <<'PY'
import json, resource, subprocess, sys
what, count, command = sys.argv[1], int(sys.argv[2]), sys.argv[3:]
subprocess.run(command, check=True, stdout=subprocess.DEVNULL, timeout=60)
used = resource.getrusage(resource.RUSAGE_CHILDREN)
print(json.dumps({"measure": "apply", "what": what, "adapters": count,
                  "core_ms": round(1000 * (used.ru_utime + used.ru_stime)),
                  "peak_kb": used.ru_maxrss}))
PY
}

for count in 3000 6000 12000 24000; do
    : >"$work/log"
    "$bin/pumicecleat-standin" log --listen 127.0.0.1:0 >"$work/log" &
    log_id=$!
    tries=100
    while [ "$tries" -gt 0 ] && ! [ -s "$work/log" ]; do
        tries=$((tries - 1))
        sleep 0.1
    done
    log=$(cut -d ' ' -f 2 "$work/log")
    write "$count" a0/v1 >"$work/first.toml"
    write "$count" a0/v2 >"$work/next.toml"
    report first "$count" "$work/first.toml"
    report change "$count" "$work/next.toml"
    kill "$log_id"
    log_id=
done
