#!/bin/bash
# Makes the figures of docs/fleet.md: the simulation at five sizes, and the scenarios fleet-*.json on real processes.
# `fleet-loss` takes 30 minutes. Usage: scenarios/swim.sh [OUT]   (needs `cargo build --release` first)
set -uo pipefail
cd "$(dirname "$0")/.."
out=${1:-$(mktemp -d)}
mkdir -p "$out"
bin=target/release/hopwalk
"$bin" lab swim --members 3,5,9,100
for loss in 0.2 0.3 0.4; do "$bin" lab swim --members 5 --loss $loss --quiet 20000; done
for name in fleet-3 fleet-5 fleet-9 fleet-kills fleet-loss; do
  rm -rf "${out:?}/$name"
  "$bin" lab run "scenarios/$name.json" --out "$out/$name" >"$out/$name.txt" 2>&1
  echo "== $name (exit $?)"; "$bin" lab report "$out/$name/history.jsonl" | grep -A20 ^fleet
done
