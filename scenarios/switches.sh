#!/bin/sh
# Makes all figures of docs/routes.md and those of heals and traffic in docs/fleet.md, in one go: each line `traffic:`,
# `heals:` and `routes:` is one. Needs a release build:
#
#     cargo build --release --locked && sh scenarios/switches.sh [COUNT [RATE [KILLS [HEALS [SECONDS]]]]]
#
# First, side by side, since little of it goes by the processor: what a member sends in SECONDS of each state (10), and
# HEALS partitions (10) of each kind and length. Then, one after the other, at 3, 5 and 9 processes: COUNT switches (100)
# under RATE requests a second in all (60), as many plain pushes (another vault in the settings of one matcher after the
# other, each told by SIGHUP once the one before has read them), and KILLS deaths of the leader (20), each followed by a
# switch.
# What stands in AROUND is put before each of the latter (`AROUND="taskset -c 0-2"`: processors that the lab has alone).
# All of it takes about 25 minutes; `10 60 3 3 5` under five (`20 60 3 3 5` took 5 min 2 s). Histories stay in a folder that is printed.
set -eu
cd "$(dirname "$0")/.."
count=${1:-100} rate=${2:-60} kills=${3:-20} heals=${4:-10} seconds=${5:-10}
out=$(mktemp -d)
lab="target/release/hopwalk lab"
echo "machine: $(nproc) cores for this, load $(cut -d' ' -f1-3 /proc/loadavg); histories in $out"
wait_for() {
    for job in "$@"; do wait "$job" || failed=1; done
}
failed=0
jobs=""
for matchers in 3 5 9; do
    $lab traffic --matchers $matchers --seconds "$seconds" --rate "$rate" --out "$out/traffic-$matchers" \
        >"$out/traffic-$matchers.txt" 2>&1 &
    jobs="$jobs $!"
done
for kind in "5 2" "3 1"; do
    for hold in 3 10 30; do
        # shellcheck disable=SC2086
        set -- $kind
        $lab heals --matchers "$1" --cut "$2" --hold $hold --count "$heals" --out "$out/heals-$1-$hold" \
            >"$out/heals-$1-$hold.txt" 2>&1 &
        jobs="$jobs $!"
    done
done
# shellcheck disable=SC2086
wait_for $jobs
cat "$out"/traffic-*.txt "$out"/heals-*.txt
for matchers in 3 5 9; do
    for way in "" --push --kill; do
        times=$count
        if [ "$way" = --kill ]; then times=$kills; fi
        echo "== $matchers matchers ${way:-"two phases"}, $times times, $rate requests a second, load $(cut -d' ' -f1 /proc/loadavg)"
        # shellcheck disable=SC2086
        ${AROUND:-} $lab switches --matchers "$matchers" --count "$times" --rate "$rate" $way --out "$out/$matchers${way#-}" || failed=1
    done
done
echo "machine: load $(cut -d' ' -f1-3 /proc/loadavg)"
exit $failed
