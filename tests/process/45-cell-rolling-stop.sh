#!/bin/sh
# Restarts all daemons of a cell in turn while jobs are submitted. Guards
# against requests that a graceful stop aborts, and against a holder that stops
# without a successor.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
cell_open 45-cell-rolling-stop 27000

for n in 1 2 3; do
	signal TERM "d$n"
	sleep 0.3
	# A draining daemon still serves requests.
	check_equal "daemon $n accepts a job while it drains" 200 \
		"$(cell_submit $n batch $((n * 10)) 200 2)"
	echo $((n * 10)) >>"$DIR/accepted"
	check "daemon $n exits with 0 in time" exit_status "d$n"
	check "daemon $n logged its stop" grep -q 'event=stop ' "$DIR/d$n.log"
	cell_launch $n
	wait_for "daemon $n is ready" cell_ready $n
done
wait_for "accepted jobs are completed" cell_all_completed batch
check "no request got an unexpected 5xx status" \
	sh -c "! grep -h 'event=answer .*status=50[0-24-9]' '$DIR'/d?.log"
cell_check_invariants
