#!/bin/sh
# All daemons are lost at once, one after the other, or all but a frozen one, and
# others with new names and addresses come. Guards against a cell without a
# holder, as none of them is in the list of daemons, and against tasks that run
# twice in such a takeover.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
cell_open 71-cell-all-replaced 24250
# Well below the 62.5 s for which a holder without the store may act.
DEADLINE=30

# add DAEMON: starts a daemon that the cell does not know.
add() {
	cell_settings "$1"
	cell_launch "$1"
}

# is_listed NAMES: by the holder, in any order.
is_listed() {
	[ "$(http "http://$STORE/kv-key?key=jay/term/daemons" |
		jq -r .value | base64 -d | tr ' ' '\n' | sort |
		tr '\n' ' ')" = "$1 " ]
}

submit_ok() {
	check_equal "daemon $1 accepts job $2" 200 \
		"$(cell_submit "$1" batch "$2" 300 2)"
	echo "$2" >>"$DIR/accepted"
}

all_completed() {
	while read -r k; do
		cell_state_is "$1" batch "$k" completed || return 1
	done <"$DIR/accepted"
}

log_line "all at once, while tasks run"
wait_for "the daemons are listed" is_listed "d1 d2 d3"
cell_submit_many batch 1 12 4000
for n in 1 2 3; do
	signal KILL "d$n"
	rm -f "$DIR/d$n.pid"
done
sleep 1
for n in 4 5 6; do
	add $n
done
for n in 4 5 6; do
	wait_for "daemon $n is ready" cell_ready $n
done
check "the holder claimed though none of them was listed" \
	grep -q 'event=claim .*overlap_ms=[1-9]' "$DIR"/d[456].log
submit_ok 4 20
wait_for "accepted jobs are completed" all_completed 5

log_line "one after the other, one each second"
for n in 4 5 6; do
	submit_ok $n 3$n
	signal KILL "d$n"
	rm -f "$DIR/d$n.pid"
	add $((n + 3))
	sleep 1
done
for n in 7 8 9; do
	wait_for "daemon $n is ready" cell_ready $n
done
submit_ok 8 40
wait_for "accepted jobs are completed" all_completed 9

log_line "all but the holder, which is frozen and wakes"
old=$(cell_holder)
k=50
while [ $k -lt 58 ]; do
	check_equal "daemon 9 accepts job $k" 200 "$(cell_submit 9 batch $k 6000 1)"
	echo $k >>"$DIR/accepted"
	k=$((k + 1))
done
signal STOP "d$old"
for n in 7 8 9; do
	[ $n = "$old" ] && continue
	signal KILL "d$n"
	rm -f "$DIR/d$n.pid"
done
for n in 10 11; do
	add $n
done
wait_for "another daemon holds the cell" cell_holder_is_other "$old"
wait_for "daemon 10 is ready" cell_ready 10
submit_ok 10 60
sleep 3
signal CONT "d$old"
submit_ok 11 61
wait_for "accepted jobs are completed" all_completed 10
cell_check_invariants
