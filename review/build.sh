#!/bin/sh
# The stand-ins are Python programs that use only its standard library: nothing is compiled. Checks
# that they can be read and that the router, which the build of the deploy file makes, is there.
set -e
cd "$(dirname "$0")"
for file in standin/harness.py [0-9]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
test -x ../target/release/teaselworks
