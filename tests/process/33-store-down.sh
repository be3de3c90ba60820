#!/bin/sh
# Store outage that is longer than the term of a claim. Guards against failing
# interactive requests, accepted jobs that stop or are lost, and jobs that are
# accepted without a durable record.
set -u
. tests/process/lib.sh
DAEMONS=2
test_open 33-store-down 25500
cluster_start
catalogue_fill
cluster_settle
addr=$(daemon_addr howrah-a 1 callers)
: >"$DIR/jobs"

submit_many "$addr" layout-series before- 16 2000
check "jobs were accepted" test "$(count_jobs accepted)" -ge 16
fault "$STORE" '{"down":true}'

submit_once_refused() {
	tries=$((tries + 1))
	echo "down-$tries $(submit "$addr" recipe-run "down-$tries" 300)" \
		>>"$DIR/jobs"
	tail -n 1 "$DIR/jobs" | grep -q not-run
}
tries=0
wait_for "a new job is answered not-run" submit_once_refused
check "no job is accepted during the outage" \
	sh -c "! grep -q '^down-[0-9]* accepted' '$DIR/jobs'"

# The load lasts for three terms of a claim.
load_start load -n 900 -c 24 --rate 100 --path /v1/call/layout-preview \
	--body '{"run_ms":5,"token":"@id"}' --expect '"token":"@id"'
check "load has ended" exit_status load
cat "$DIR/load.out"
check_all_done load
grep '^before' "$DIR/jobs" >"$DIR/jobs.before"
all_started() {
	while read -r tag _ _; do
		[ "$(starts_of "$tag")" -ge 1 ] || return 1
	done <"$DIR/jobs.before"
}
wait_for "accepted repeatable jobs are started during the outage" all_started

fault "$STORE" '{"down":false}'
wait_for "accepted jobs are done" accepted_jobs_done "$addr"
accepts_again() {
	tries=$((tries + 1))
	submit "$addr" recipe-run "back-$tries" 300 | grep -q accepted
}
wait_for "new jobs are accepted again" accepts_again
check_exclusive
check_not_run
check_observers
