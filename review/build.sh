#!/bin/sh
# Builds the stand-ins of the cases; run from the project's root or from here.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
cc -std=gnu11 -O1 -g -Wall -Wextra -o target/review/cases review/stand/*.c \
	$(pkg-config --cflags --libs jansson) -lpthread
