#!/bin/sh
# Stops the holder of a zone (SIGSTOP) until its claim has expired and resumes
# it. Guards against a resumed holder that starts a task which its successor
# also runs.
set -u
. tests/process/lib.sh
DAEMONS=2
test_open 32-holder-frozen 25200
cluster_start
catalogue_fill
cluster_settle
: >"$DIR/jobs"

# The jobs make it likely that the holder is stopped while it starts tasks.
round=1
while [ $round -le 3 ]; do
	wait_for "howrah-a has a holder" holder_of howrah-a
	holder=$(holder_of howrah-a)
	standby=$(daemon_addr howrah-a $((3 - holder)) callers)
	process=$(daemon_name howrah-a "$holder")
	submit_many "$standby" recipe-run "round$round-" 16 1500
	signal STOP "$process"
	wait_for "standby holds the zone" holder_is_other howrah-a "$holder"
	submit_many "$standby" recipe-run "during$round-" 4 500
	signal CONT "$process"
	wait_for "$process is ready again" \
		daemon_is_ready howrah-a "$holder"
	wait_for "accepted jobs are done" accepted_jobs_done "$standby"
	round=$((round + 1))
done
check "jobs were accepted" test "$(count_jobs accepted)" -ge 48
check_exclusive
check_not_run
check_observers
