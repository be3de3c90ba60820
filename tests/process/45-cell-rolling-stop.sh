#!/bin/sh
# Stops and starts every daemon of a cell in turn while jobs come. Guards against
# requests that a planned stop cuts off, and against a holder that leaves its cell
# without a successor.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
cell_open 45-cell-rolling-stop 27000

for n in 1 2 3; do
	signal TERM "d$n"
	sleep 0.3
	# A daemon that leaves still answers.
	check_equal "daemon $n answers while it leaves" 200 \
		"$(cell_submit $n batch $((n * 10)) 200 2)"
	echo $((n * 10)) >>"$DIR/accepted"
	check "daemon $n leaves in time" exit_status "d$n"
	check "it said so" grep -q 'event=stop ' "$DIR/d$n.log"
	cell_launch $n
	wait_for "daemon $n is ready" cell_ready $n
done
wait_for "accepted jobs are completed" cell_all_completed batch
check "no request was answered by a fault" \
	sh -c "! grep -h 'event=answer .*status=50[0-24-9]' '$DIR'/d?.log"
cell_kept
