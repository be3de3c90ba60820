#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule
# was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/jaycelld ] &&
	[ -x target/build/fakeplatform ] || exit 2
RECORD=review/10/record.txt exec target/review-2/cases late
