#!/bin/sh
# Measures what control costs a side: side.sh [FOLDER [SECONDS [CONFIG]]].
#
# FOLDER holds the programs of one build (default: target/release). A side of an idle engine reports
# to 1, 2, 4 and 8 entries, twice a second to each; its processor time and memory over SECONDS
# (default: 20) come from the system's accounts, with CONFIG (default: examples/demo.toml) in force. All
# that was started is ended by its id.
set -eu

bin=${1:-target/release}
seconds=${2:-20}
config=${3:-examples/demo.toml}
. "$(dirname "$0")/processes.sh"

# Processor time of process ID so far, in ticks of 10 ms.
ticks() {
    read -r user system <<STAT
$(cut -d ' ' -f 14,15 "/proc/$1/stat")
STAT
    echo $((user + system))
}

measure() {
    start log "$bin/pumicecleat-standin" log --listen 127.0.0.1:0
    log=$(told listening)
    start engine "$bin/pumicecleat-standin" engine --listen 127.0.0.1:0 --base hu-base
    engine=$(told listening)
    "$bin/pumicecleat" apply --log "$log" "$config" >/dev/null
    list=
    n=0
    while [ "$n" -lt "$1" ]; do
        start "entry$n" "$bin/pumicecleat-entry" --vm "entry$n" --data-centre d --region r \
            --log-level off --listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 --admin 127.0.0.1:0 \
            --log "$log"
        list="$list${list:+,}$(told peers)"
        n=$((n + 1))
    done
    start side "$bin/pumicecleat-side" --vm side --data-centre d --region r --log-level off \
        --listen 127.0.0.1:0 --slot 127.0.0.1:0 --admin 127.0.0.1:0 --pool engines \
        --upstream "$engine" --entries "$list"
    sleep 5
    before=$(ticks "$id")
    sleep "$seconds"
    spent=$(($(ticks "$id") - before))
    rss=$(sed -n 's/^VmRSS:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/$id/status")
    echo "{\"measure\":\"side\",\"entries\":$1,\"reports_a_second\":$((2 * $1)),\"seconds\":$seconds,\"core_ms\":$((spent * 10)),\"rss_kb\":$rss}"
    finish
}

for entries in 1 2 4 8; do
    measure "$entries"
done
