#!/bin/sh
# Stand-ins of the cases: Python modules that need the standard library only.  Nothing is compiled or fetched;
# this checks that they can be read by the machine's python3.
set -eu
cd "$(dirname "$0")"
for file in common/*.py [123]/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
