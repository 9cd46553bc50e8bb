#!/bin/sh
# Builds the stand-ins of all cases: one program without dependencies, in a module of its own. Needs no network.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
GOFLAGS=-mod=mod GOWORK=off go build -o bin/standin ./standin
