#!/bin/sh
# The store is unreachable for the holder of a cell only. Guards against a
# former holder that does not discover its successor, so that its callers are
# refused until it reaches the store again.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
CELL_DAEMONS=1
cell_open 48-cell-holder-turned-away 27800
CELL_DAEMONS=3
for n in 2 3; do
	cell_settings $n
	cell_launch $n
done
for n in 2 3; do
	wait_for "daemon $n is ready" cell_ready $n
done
check_equal "daemon 1 holds the cell" 1 "$(cell_holder)"
cell_submit_many batch 1 6 800

fault "$STORE" '{"port":'$((BASE + 2))',"down":true}'
wait_for "another daemon holds the cell" cell_holder_is_other 1
follows() {
	grep -q 'event=holder .*from=peer' "$DIR/d1.log" && cell_ready 1
}
wait_for "daemon 1 follows without access to the store" follows
check_equal "daemon 1 accepts jobs through the holder" 200 \
	"$(cell_submit 1 batch 20 300 2)"
echo 20 >>"$DIR/accepted"
wait_for "accepted jobs are completed" cell_all_completed batch
fault "$STORE" '{"port":'$((BASE + 2))',"down":false}'
cell_check_invariants
