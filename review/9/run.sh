#!/bin/sh
# A node that was killed starts again in an outage of discovery; a server began to drain 2 s before the outage.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. With TROUBLE=0 discovery stays up.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin2 ] && [ -x ../../bin/hookwalk ] || { echo "build first: the build of the deploy file, and review/build-2.sh" >&2; exit 2; }
exec ../bin/standin2 restart-in-outage
