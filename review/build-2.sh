#!/bin/sh
# Prepares what the scripts of review/6 to review/10 start. The gateway comes from the build of
# the deploy file; the stand-ins are Python files that need its standard library only.
set -eu
cd "$(dirname "$0")/.."
test -x target/release/briarbank || cargo build --release --locked --offline
for file in review/common-2/*.py review/[6-9]/*.py review/10/*.py; do
    test -e "$file" || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
