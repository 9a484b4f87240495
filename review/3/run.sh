#!/bin/sh
# Case 3: spoilt status lines of faulty engines reach callers as answers.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
