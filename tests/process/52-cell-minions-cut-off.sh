#!/bin/sh
# Guards against a new holder that starts tasks of a minion elsewhere while its
# predecessor's lease lets them run there.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
# For trials: without the cut, or without the change of the holder.
CUT=${CUT:-1}
KILL=${KILL:-1}
cell_open 52-cell-minions-cut-off 30300

cut_entries() {
	http -f -X POST "http://$STORE/platform" \
		-d '{"cut":[0,1,2],"for_ms":5000}' >/dev/null
}
cut_links() {
	for i in 0 1 2; do
		fault "$STORE" "{\"port\":$((BASE + 3 + i)),\"freeze\":$1}"
	done
}
all_run() {
	[ "$(platform_stat .minions.running)" = 24 ]
}

# A holder whose term is older than 5 s is replaced as soon as it is gone.
sleep 5
# On a minion that is cut off, tasks of 4.2 s end and those of 15 s run on.
check_equal "a long job is accepted" 200 "$(cell_submit 1 batch 1 15000 12)"
check_equal "a short job is accepted" 200 "$(cell_submit 2 batch 2 4200 12)"
seq 2 >"$DIR/accepted"
wait_for "all tasks run" all_run

old=$(cell_holder)
[ "$CUT" = 1 ] && cut_entries
sleep 1.8
[ "$CUT" = 1 ] && cut_links true
[ "$KILL" = 1 ] && signal KILL "d$old"
# The cut ends before the leases of 5.5 s do.
sleep 3.3
[ "$CUT" = 1 ] && cut_links false
if [ "$KILL" = 1 ]; then
	wait_for "another daemon holds the cell" cell_holder_is_other "$old"
	cell_launch "$old"
	wait_for "daemon $old is ready" cell_ready "$old"
fi
wait_for "accepted jobs are completed" cell_all_completed batch
platform_stat '.minions.faults[]'
log_line "twice=$(platform_stat .minions.twice)" \
	"after_done=$(platform_stat .minions.after_done)"
cell_check_invariants
