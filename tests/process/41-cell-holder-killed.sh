#!/bin/sh
# Kills the holder of a cell twice while jobs run. Guards against the loss of
# accepted jobs and against tasks that run twice after a takeover.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
cell_open 41-cell-holder-killed 26200

for round in 1 2; do
	first=$((round * 100))
	cell_submit_many batch $first $((first + 11)) 1500
	old=$(cell_holder)
	signal KILL "d$old"
	cell_submit_many batch $((first + 12)) $((first + 17)) 300
	wait_for "another daemon holds the cell" cell_holder_is_other "$old"
	cell_launch "$old"
	wait_for "daemon $old is ready" cell_ready "$old"
	wait_for "accepted jobs are completed" cell_all_completed batch
done
check "most jobs were accepted" test "$(wc -l <"$DIR/accepted")" -ge 24
cell_check_invariants
