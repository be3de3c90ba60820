#!/bin/sh
# The store applies some writes without a response. Guards against refusing jobs
# that were stored, and against gaps in the journal.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
cell_open 46-cell-lost-answers 27200

fault "$STORE" '{"port":'"$BASE"',"lose_answers":5}'
cell_submit_many batch 1 20 300
fault "$STORE" '{"port":'"$BASE"',"lose_answers":0}'
check "jobs were accepted" test "$(wc -l <"$DIR/accepted")" -ge 10
wait_for "accepted jobs are completed" cell_all_completed batch
cell_check_invariants
