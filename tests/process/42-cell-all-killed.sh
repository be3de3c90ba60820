#!/bin/sh
# Kills all daemons of a cell at once while jobs run, and restarts them. Guards
# against accepted jobs that were not durable.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
cell_open 42-cell-all-killed 26400

cell_submit_many batch 1 16 2000
for n in 1 2 3; do
	signal KILL "d$n"
done
for n in 1 2 3; do
	cell_launch $n
done
for n in 1 2 3; do
	wait_for "daemon $n is ready" cell_ready $n
done
check_equal "all jobs were accepted" 16 "$(wc -l <"$DIR/accepted")"
wait_for "accepted jobs are completed" cell_all_completed batch
cell_check_invariants
