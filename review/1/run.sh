#!/bin/sh
# Case 1: a daemon that once ran out of descriptors accepts no caller again and says it is ready.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
