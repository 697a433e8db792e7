#!/bin/bash
# Looks for spoilt heaps: builds the program with the address sanitizer and plays rate-1000 around it, several labs
# at once so that threads are stopped at odd moments. Each use of freed memory ends a matcher and is named, where a
# plain build only crashes now and then. Needs the toolchain's own sanitizer runtime, nothing else.
# Usage: scenarios/heap.sh [ROUNDS [LABS_AT_ONCE [PROGRAM]]]   (PROGRAM: a build of this kind made before)
set -uo pipefail
cd "$(dirname "$0")/.."
rounds=${1:-4} labs=${2:-6} program=${3:-}
out=$(mktemp -d)
if [ -z "$program" ]; then
  target=$(rustc -vV | sed -n 's/^host: //p')
  # Frames of coroutines would be taken for overrun stacks: only the heap is watched.
  RUSTC_BOOTSTRAP=1 RUSTFLAGS="-Zsanitizer=address -g -Cllvm-args=-asan-stack=0" CARGO_TARGET_DIR=target/heap \
    cargo build --release --locked --target "$target" --bin hopwalk || exit 2
  program=target/heap/$target/release/hopwalk
fi
export ASAN_OPTIONS=detect_leaks=0:detect_stack_use_after_return=0:abort_on_error=1:disable_coredump=1
for round in $(seq "$rounds"); do
  for lab in $(seq "$labs"); do
    target/release/hopwalk lab run scenarios/rate-1000.json --program "$program" --out "$out/$round-$lab" \
      >"$out/$round-$lab.txt" 2>&1 &
  done
  wait
done
grep -hE "ERROR: Addr" "$out"/*/*/log.txt | sed 's/0x[0-9a-f]*/X/g; s/==[0-9]*==//' | sort | uniq -c
spoilt=$(grep -lE "ERROR: Addr" "$out"/*/*/log.txt | wc -l)
echo "$spoilt matchers of $((rounds * labs * 3)) spoilt their heap; logs in $out"
[ "$spoilt" -eq 0 ]
