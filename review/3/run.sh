#!/bin/sh
# Plays the case stopped-requests; see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin ] || { echo "run review/build.sh first" >&2; exit 2; }
if [ "${TROUBLE:-1}" = 0 ]; then
    exec ../bin/standin --no-trouble stopped-requests .
fi
exec ../bin/standin stopped-requests .
