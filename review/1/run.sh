#!/bin/sh
# Case 1: after a pause beside an outage of the store, the holder of the lease sends stale fences.
cd "$(dirname "$0")" || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
  exec python3 case.py --calm # the same without the disruption
fi
exec python3 case.py
