#!/bin/sh
# The stand-ins are Python (standard library only), so there is nothing to compile; checks
# that the interpreter can read them. The scripts start target/release/briarbank, which the
# build of the deploy file makes.
set -e
cd "$(dirname "$0")"
for file in common/*.py [0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
