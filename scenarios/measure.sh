#!/bin/bash
# Makes the figures of docs/lab.md: each scenario beside this file, played once, on this machine.
# Usage: scenarios/measure.sh [OUT]   (needs `cargo build --release` first)
set -uo pipefail
cd "$(dirname "$0")/.."
out=${1:-$(mktemp -d)}
mkdir -p "$out"
bin=target/release/hopwalk
for name in net direct rate-1000 rate-5000 rate-20000 nine; do
  rm -rf "$out/$name"
  /usr/bin/time -f "$name: wall %e s, cpu %U+%S s, largest rss %M KB" \
    "$bin" lab run "scenarios/$name.json" --out "$out/$name" > "$out/$name.txt" 2> "$out/$name.time"
  echo "== $name (exit $?)"; grep -v '^ ' "$out/$name.txt" | head -3; tail -1 "$out/$name.time"
  "$bin" lab report "$out/$name/history.jsonl" | sed -n '1,5p'
done
