#!/usr/bin/env bash
# The stand-ins are Python 3 programs that use the standard library only. Checks that they compile.
cd "$(dirname "$0")" || exit 1
for file in standins.py [0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
echo "stand-ins: ok, $(python3 --version)"
