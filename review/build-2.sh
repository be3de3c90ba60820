#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, the project's own included; run
# after the build of the deploy file, from the project's root or from here.
set -eu
cd "$(dirname "$0")/.."
make -j8 B=target/build target/build/fakeplatform
mkdir -p target/review-2
cc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -o target/review-2/cases \
	review/stand-2/*.c $(pkg-config --cflags --libs jansson) -lpthread
