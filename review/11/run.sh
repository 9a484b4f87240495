#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. What was sent,
# answered and run is in record.txt beside it. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
TROUBLE="${TROUBLE:-1}" python3 -B case.py
result=$?
if [ ! -s record.txt ]; then
  echo "no record.txt was written" >&2
  exit 2
fi
exit "$result"
