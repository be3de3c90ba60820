#!/bin/sh
# Guards against a holder that drops late responses: it starts tasks again whose
# ends were listed, and gives up runs of minions that work.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
# For trials: without late links.
LATE=${LATE:-1}
cell_open 54-cell-late-links 30500

all_run() {
	[ "$(platform_stat .minions.running)" = 32 ]
}

cell_submit_many batch 1 4 2500
cell_submit_many batch 5 8 4000
cell_submit_many batch 9 12 8000
cell_submit_many batch 13 16 15000
wait_for "all tasks run" all_run
old=$(cell_holder)
[ "$LATE" = 1 ] && http -f -X POST "http://$STORE/platform" -d '{
	"late_links":[0,1,2],"delay_ms":500,"for_ms":12000}' >/dev/null
sleep 1
cell_submit_many batch 17 20 1000
sleep 3
cell_submit_many batch 21 24 3000
sleep 3
cell_submit_many batch 25 28 500
wait_for "accepted jobs are completed" cell_all_completed batch

platform_stat '.minions.faults[]'
given_up=$(cat "$DIR"/d*.log | grep 'event=minion-settled' | grep -vc 'value=0')
log_line "silent=$(cat "$DIR"/d*.log | grep -c 'event=minion-silent')" \
	"given_up=$given_up twice=$(platform_stat .minions.twice)" \
	"after_done=$(platform_stat .minions.after_done)" \
	"after_listed=$(platform_stat .minions.after_listed)" \
	"lapsed=$(platform_stat .minions.lapsed)"
[ "$LATE" = 1 ] && check "responses were late" \
	[ "$(platform_stat .minions.late_answers)" -gt 0 ]
check_equal "the holder has not changed" "$old" "$(cell_holder)"
cell_check_invariants
check_equal "no task was started after its end was listed" 0 \
	"$(platform_stat .minions.after_listed)"
check_equal "no minion was given up with its runs" 0 "$given_up"
check_equal "no run lapsed" 0 "$(platform_stat .minions.lapsed)"
