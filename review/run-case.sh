#!/bin/sh
# Runs the case whose folder is given: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$1" && pwd) || exit 2
root=$(cd "$here/../.." && pwd)
case=$root/target/review/case-$(basename "$here")
if [ ! -x "$case" ] || [ ! -x "$root/target/release/hopwalk" ]; then
    echo "the case could not run: first cargo build --release and review/build.sh"
    exit 2
fi
tmp=$(mktemp -d) || exit 2
trap 'rm -rf "$tmp"' EXIT
CASE_ROOT=$root CASE_RECORD=${CASE_RECORD:-$here/record.txt} CASE_TMP=$tmp "$case"
code=$?
[ $code -eq 0 ] || [ $code -eq 1 ] || code=2
exit $code
