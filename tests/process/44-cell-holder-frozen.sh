#!/bin/sh
# Stops the holder of a cell (SIGSTOP) until another daemon has taken over, and
# resumes it. Guards against a holder that sends orders to minions after its
# term has ended, and against daemons that accept its messages.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
cell_open 44-cell-holder-frozen 26800

cell_submit_many batch 1 10 1500
old=$(cell_holder)
signal STOP "d$old"
wait_for "another daemon holds the cell" cell_holder_is_other "$old"
other=$((old % CELL_DAEMONS + 1))
check_equal "a job is accepted after the takeover" 200 \
	"$(cell_submit $other batch 20 300 2)"
echo 20 >>"$DIR/accepted"
signal CONT "d$old"
ended() {
	grep -q 'event=term-ended' "$DIR/d$old.log"
}
wait_for "the former holder ends its term" ended
wait_for "the former holder is ready as a follower" cell_ready "$old"
wait_for "accepted jobs are completed" cell_all_completed batch
cell_check_invariants
