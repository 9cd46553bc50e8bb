#!/bin/sh
# A new configuration drops the class of a drill that nobody started, and moves discovery; then a server begins to drain.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. With TROUBLE=0 the configuration keeps the class.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/standin2 ] && [ -x ../../bin/hookwalk ] || { echo "build first: the build of the deploy file, and review/build-2.sh" >&2; exit 2; }
exec ../bin/standin2 drilled-class
