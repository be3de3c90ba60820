#!/bin/sh
# Replaces all daemons, one at a time, under load. Guards against a graceful
# stop that aborts requests, refuses work that another daemon could accept, or
# loses accepted jobs.
set -u
. tests/process/lib.sh
DAEMONS=2
test_open 30-rolling-stop 24600
cluster_start
catalogue_fill
cluster_settle

load_start load -n 1000000 -c 48 --rate 150 --max-s 200 \
	--path /v1/call/layout-preview \
	--body '{"run_ms":60,"token":"@id"}' --expect '"token":"@id"'
: >"$DIR/jobs"
for z in $ZONES; do
	submit_many "$(daemon_addr "$z" 1 callers)" recipe-run "$z-" 4 2000
done
check_equal "accepted jobs" 12 "$(count_jobs accepted)"

while read -r z n; do
	process=$(daemon_name "$z" "$n")
	signal TERM "$process"
	check "$process exits with 0" exit_status "$process"
	daemon_restart "$z" "$n"
done <"$DIR/daemons"

load_stop load
check_all_done load
wait_for "all accepted jobs are done" \
	accepted_jobs_done "$(daemon_addr howrah-a 1 callers)"
check_exclusive
check_observers
