#!/bin/sh
# Reloads settings. Guards against a change that needs a restart or aborts
# requests, and against an invalid file that stops a daemon.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
cell_open 49-cell-reload 28900


has_event() {
	grep -q "event=$2" "$DIR/d$1.log"
}

check_equal "a job is accepted" 200 "$(cell_submit 1 batch 1 3000 2)"

sed 's/"grace_s": 6/"grace_s": 7/' "$DIR/d1.json" >"$DIR/d1.new"
cp "$DIR/d1.new" "$DIR/d1.json"
signal HUP d1
wait_for "SIGHUP applies a change" has_event 1 \
	'reload result=applied changed=1 need_restart=-'

sed 's/"status_s": 120/"status_s": 90/' "$DIR/d2.json" >"$DIR/d2.new"
cp "$DIR/d2.new" "$DIR/d2.json"
wait_for "a change is detected without a signal" has_event 2 \
	'reload result=applied changed=1 need_restart=-'

sed 's/"lease_ms": 5500/"lease_ms": 0/' "$DIR/d3.json" >"$DIR/d3.new"
cp "$DIR/d3.new" "$DIR/d3.json"
signal HUP d3
wait_for "an invalid value is named" has_event 3 \
	'reload result=rejected detail=".*lease_ms: expected'

check "daemon 3 still serves" cell_ready 3
wait_for "the job is completed" cell_state_is 3 batch 1 completed
cell_check_invariants
