#!/bin/sh
# Builds the stand-ins of the cases 11 to 15; run after the build of the deploy
# file, from the project's root or from here.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -o target/review-3/cases \
	review/stand-3/*.c $(pkg-config --cflags --libs jansson libcrypto) \
	-lpthread
