#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/bin. It needs no network. The cases start the node that the build of
# the deploy file leaves in bin/.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
go build -o bin/standin2 ./standin2
