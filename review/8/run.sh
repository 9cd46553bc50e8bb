#!/bin/sh
# Clients send a request with a body of 1 MiB to a busy node, and close their connections right after it.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. With TROUBLE=0 the clients stay.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin2 ] && [ -x ../../bin/hookwalk ] || { echo "build first: the build of the deploy file, and review/build-2.sh" >&2; exit 2; }
exec ../bin/standin2 left-in-body
