#!/usr/bin/env bash
# Checks the stand-ins and scripts of the cases 6, 7, 9 and 10. They are Python programs
# that use only the standard library, so there is nothing to build.
set -eu
cd "$(dirname "$0")"
for file in site2.py 6/play.py 7/play.py 9/play.py 10/play.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
