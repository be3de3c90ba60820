#!/bin/sh
# An outage of the store for all daemons, at first with all of them connected,
# then with one lost. Guards against work that ends though no daemon can take
# over, and against a holder that goes on though one may have.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
cell_open 53-cell-term-validity 29400

# store_down true|false: for all daemons; the minions still answer.
store_down() {
	fault "$STORE" '{"port":'"$BASE"',"down":'"$1"'}'
	fault "$STORE" '{"port":'$((BASE + 2))',"down":'"$1"'}'
}
# times_invalid N: how often daemon N found its term invalid.
times_invalid() {
	grep -c 'event=term-validity .* valid=0' "$DIR/d$1.log"
}
invalid_once() {
	[ "$(times_invalid "$1")" = 1 ]
}

# A new term depends on the store for 2 s.
sleep 3
holder=$(cell_holder)
lost=$((holder % CELL_DAEMONS + 1))
other=$((lost % CELL_DAEMONS + 1))
check_equal "a long job is accepted" 200 "$(cell_submit "$holder" batch 1 15000 1)"
wait_for "it runs" cell_state_is $other batch 1 running

store_down true
# Longer than the lease of a run.
sleep 8
check_equal "the term stays valid while no daemon reaches the store" 0 \
	"$(times_invalid "$holder")"
check "a state query is answered" cell_state_is $other batch 1 running
signal KILL "d$lost"
wait_for "the term is invalid without daemon $lost" invalid_once "$holder"
store_down false
cell_launch $lost
wait_for "daemon $lost is ready" cell_ready $lost
wait_for "the job is completed" cell_state_is $other batch 1 completed
check_equal "its task was started once" 1 \
	"$(platform_stat ".minions.starts[\"$(job_id 1).0.0.0\"]")"
cell_check_invariants
