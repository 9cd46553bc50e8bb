#!/bin/sh
# Servers spoil some answers: they have no length and never end.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin2 ] && [ -x ../../bin/hookwalk ] || { echo "build first: the build of the deploy file, and review/build-2.sh" >&2; exit 2; }
exec ../bin/standin2 unfinished-answer
