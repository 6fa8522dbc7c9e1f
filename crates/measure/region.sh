#!/bin/sh
# Follows changes through a region of real entry processes: region.sh [FOLDER [ENTRIES [ARGUMENT...]]].
#
# FOLDER holds the programs of one build (default: target/release). A stand-in log and ENTRIES
# (default: 57) entries are started; `slopes --parts change` gets their addresses and the further
# arguments, and declares, starts the sides and appends. Memory, its peak and processor time of each
# entry come from the system's accounts at the end. With RETENTION set, the
# first entry appends snapshots four times in that span. All that was started is ended by its id.
set -eu

bin=${1:-target/release}
entries=${2:-57}
[ $# -lt 2 ] || shift
[ $# -lt 1 ] || shift
. "$(dirname "$0")/processes.sh"

# field NAME ID: a line of the process's status, kB.
field() {
    sed -n "s/^$1:[[:space:]]*\([0-9]*\) kB/\1/p" "/proc/$2/status"
}

start log "$bin/pumicecleat-standin" log --listen 127.0.0.1:0
log=$(told listening)
list=
ids=
n=0
retention=${RETENTION:-48h}
while [ "$n" -lt "$entries" ]; do
    start "entry$n" "$bin/pumicecleat-entry" --vm "entry$n" --data-centre d --region r \
        --log-level off --listen 127.0.0.1:0 --peer-listen 127.0.0.1:0 --admin 127.0.0.1:0 \
        --retention "$retention" --log "$log"
    list="$list${list:+,}$(told peers)"
    ids="$ids $id"
    retention=48h
    n=$((n + 1))
done
"$bin/pumicecleat-measure" slopes --parts change --log "$log" --peers "$list" "$@"
for id in $ids; do
    read -r user system <<STAT
$(cut -d ' ' -f 14,15 "/proc/$id/stat")
STAT
    echo "{\"measure\":\"region\",\"entries\":$entries,\"core_ms\":$(((user + system) * 10)),\"rss_kb\":$(field VmRSS "$id"),\"peak_kb\":$(field VmHWM "$id")}"
done | sort | sed -n '1p;$p'
