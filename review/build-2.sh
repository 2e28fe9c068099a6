#!/bin/bash
# The stand-ins of the cases 6 to 10 are Python: nothing to build, this checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in stand_ins_2.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
