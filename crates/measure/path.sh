#!/bin/sh
# Measures what a stream costs in separate processes: path.sh [FOLDER [STREAMS [TOKENS [STEP_MS [ENGINES]]]]].
#
# FOLDER holds the programs of one build (default: target/release). Log, engine, entry and side are
# started on loopback, the configuration is applied, `pumicecleat-measure path` runs against them,
# and all that was started is ended by its id. Every step is bounded in time.
set -eu

bin=${1:-target/release}
streams=${2:-1000}
tokens=${3:-200}
step=${4:-50}
engines=${5:-1}

# Longest run of the measurement, seconds.
limit=180

. "$(dirname "$0")/processes.sh"

# Waits until the admin listener at ADDRESS says that its process takes work.
ready() {
    left=$tries
    while [ "$left" -gt 0 ]; do
        if curl -fs -m 1 -o "$work/readyz" "http://$1/readyz"; then
            return
        fi
        left=$((left - 1))
        sleep 0.1
    done
    echo "step wait, admin $1: not ready" >&2
    exit 1
}

start log "$bin/pumicecleat-standin" log --listen 127.0.0.1:0
log=$(told listening)
list=
n=0
while [ "$n" -lt "$engines" ]; do
    start "engine$n" "$bin/pumicecleat-standin" engine --listen 127.0.0.1:0 --base m \
        --batch "$streams" --slots 64 --step-ms "$step" --slow-ms "$step" --ignore-fencing
    list="$list${list:+,}$(told listening)"
    n=$((n + 1))
done

hash=$("$bin/pumicecleat" key measure-key)
cat >"$work/measure.toml" <<TOML
[base.m]
context = 4096
[caller.c]
keys = ['$hash']
claim = 1
adapters = ['*']
[pool.lm]
kind = 'model'
base = 'm'
slots = 64
batch = $streams
queue = 10000
TOML
n=0
while [ "$n" -lt "$engines" ]; do
    printf "[adapter.a%s]\nbase = 'm'\nversion.v1.path = 'a/v1'\n" "$n" >>"$work/measure.toml"
    n=$((n + 1))
done

place="--data-centre d --region r --admin 127.0.0.1:0 --log-level off"
# Flags in $place are parted on purpose.
# shellcheck disable=SC2086
start entry "$bin/pumicecleat-entry" --vm entry $place --listen 127.0.0.1:0 \
    --peer-listen 127.0.0.1:0 --log "$log"
entry_id=$id
entry=$(told listening)
peers=$(told peers)
entry_admin=$(told admin)
"$bin/pumicecleat" apply --log "$log" "$work/measure.toml" >&2
ready "$entry_admin"

n=0
for engine in $(echo "$list" | tr ',' ' '); do
    # shellcheck disable=SC2086
    start "side$n" "$bin/pumicecleat-side" --vm "side$n" $place --listen 127.0.0.1:0 \
        --slot 127.0.0.1:0 --pool lm --upstream "$engine" --entries "$peers"
    side_id=$id
    ready "$(told admin)"
    n=$((n + 1))
done
# The entry hears of the side by its next report.
sleep 2

timeout "$limit" "$bin/pumicecleat-measure" path --streams "$streams" --tokens "$tokens" \
    --step-ms "$step" --engine "$list" --entry "$entry" \
    --entry-id "$entry_id" --side-id "$side_id"
