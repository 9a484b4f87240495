#!/usr/bin/env bash
# Checks the stand-ins of review/11 and later; they are programs in Python and need no build.
set -euo pipefail
cd "$(dirname "$0")"
for program in lab_3.py 1[1-5]/case.py; do
  [ -e "$program" ] && python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$program"
done
