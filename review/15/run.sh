#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/briarbank target/review-3/release/holders; do
    [ -x "$program" ] || { echo "$program is missing: build first"; exit 2; }
done
scratch=$(mktemp -d) || exit 2
timeout -k 2 115 target/review-3/release/holders review/15 "$scratch"
status=$?
rm -rf "$scratch"
[ "$status" -le 1 ] && exit "$status"
exit 2
