#!/bin/sh
# Isolates one zone from the store while the others reach it. Guards against an
# isolated zone that stops, and against another zone that also runs its jobs.
set -u
. tests/process/lib.sh
DAEMONS=2
test_open 35-zone-without-store 28400
cluster_start
catalogue_fill
cluster_settle
cut=$(daemon_addr howrah-a 1 callers)
: >"$DIR/jobs"

submit_many "$cut" layout-series before- 16 2000
check "jobs were accepted" test "$(count_jobs accepted)" -ge 16
cut_store howrah-a true
grep '^before' "$DIR/jobs" >"$DIR/jobs.before"

start load "$BUILD/loadgen" --addr "$cut" \
	--addr "$(daemon_addr howrah-a 2 callers)" -n 900 -c 12 --rate 100 \
	--path /v1/call/layout-preview \
	--body '{"run_ms":5,"token":"@id"}' --expect '"token":"@id"'
check "load has ended" exit_status load
cat "$DIR/load.out"
check_all_done load
all_started() {
	while read -r tag _ _; do
		[ "$(starts_of "$tag")" -ge 1 ] || return 1
	done <"$DIR/jobs.before"
}
wait_for "accepted repeatable jobs are started during the isolation" all_started

# Jobs whose home zone reaches the store are accepted elsewhere.
submit_many "$(daemon_addr nadia-b 1 callers)" recipe-run during- 12 500
check "other zones accept jobs" grep -q '^during.* accepted' "$DIR/jobs"

cut_store howrah-a false
wait_for "accepted jobs are done" accepted_jobs_done "$cut"
check_exclusive
check_not_run
check_observers
