#!/bin/sh
# Runs the demo. Guards against a regression of one of its outcomes.
set -u
rm -rf "${BUILD:?}/process/20-demo"
mkdir -p "$BUILD/process/20-demo"
DIR=$BUILD/process/20-demo BASE_PORT=24300 exec scripts/demo
