#!/bin/sh
# A daemon with a small share of a processor holds a cell when a larger one
# comes up. Guards against a small daemon that stays the holder, and against
# work that is lost or run twice when it hands over.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
CELL_DAEMONS=0
cell_open 55-cell-small-holder 30700
cell_settings 1
sed -i 's/"cpu_share": 1.0/"cpu_share": 0.1/' "$DIR/d1.json"
cell_launch 1
wait_for "daemon 1 is ready" cell_ready 1
CELL_DAEMONS=1
check_equal "daemon 1 holds the cell" 1 "$(cell_holder)"
cell_submit_many batch 1 6 1500
cell_settings 2
cell_launch 2
wait_for "daemon 2 is ready" cell_ready 2
CELL_DAEMONS=2
cell_submit_many batch 7 12 1500
wait_for "the larger daemon holds the cell" cell_holder_is_other 1
check "the term was offered" grep -q 'event=term-offered' "$DIR/d1.log"
check "no lease had to end" grep -q 'event=claim .*why="released"' "$DIR/d2.log"
cell_submit_many batch 13 18 300
wait_for "accepted jobs are completed" cell_all_completed batch
check_equal "daemon 2 still holds the cell" 2 "$(cell_holder)"
cell_check_invariants
