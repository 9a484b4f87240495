#!/bin/sh
# Case 1: after a pause beside an outage of the store, the holder of the lease sends stale fences.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
