#!/bin/sh
# Case 3: spoilt status lines of faulty engines reach callers as answers.
cd "$(dirname "$0")" || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
  exec python3 case.py --calm # the same without the disruption
fi
exec python3 case.py
