#!/bin/sh
# Another writer leaves odd entries among those of the minions. Guards against
# daemons that end by them or no longer follow the list.
set -u
. tests/process/lib.sh
. tests/process/cell.sh

# repeat TEXT COUNT
repeat() {
	head -c "$2" /dev/zero | sed "s/\\x00/$1/g"
}

# entry ADDRESS CPU MORE: an entry of a minion.
entry() {
	printf '{"address":"%s","service":"svc","state":"ready","zone":"az-a",' \
		"$1"
	printf '"capacity":{"cpu":%s,"mem_mb":16000,"gpu":0},' "$2"
	printf '"labels":["a","r1"],"born":1700000000000%s}' "$3"
}

# write_entry ID: stores standard input as the entry of a minion.
write_entry() {
	http -f -X PUT "http://$STORE/op?key=servers/$1" --data-binary @- \
		>/dev/null
}

malformed() {
	for n in 1 2 3; do
		grep "event=entry-malformed key=servers/$1 " "$DIR/d$n.log" &&
			return
	done
	return 1
}

same_processes() {
	for n in 1 2 3; do
		kill -0 "$(cat "$DIR/d$n.pid")" || return 1
	done
}

write_odd_entries() {
	entry 127.0.0.1:9 1000 ",\"x\":$(repeat '[' 50000)$(repeat ']' 50000)" |
		write_entry nested
	repeat '[' 50000 | write_entry unclosed
	entry 127.0.0.1:9 1e999 '' | write_entry infinite
	entry 127.0.0.1:9 99999999999999999999999 '' | write_entry large
	entry 127.0.0.1:99999 1000 '' | write_entry port
	entry 127.0.0.1:0 1000 '' | write_entry port-zero
	entry 127.0.0.1:-7 1000 '' | write_entry port-below
	printf '\377\376\000\001' | write_entry bytes
	printf '' | write_entry empty
	printf '7' | write_entry number
}

cell_open 51-cell-odd-entries 29100

write_odd_entries
for id in nested unclosed infinite large port port-zero port-below bytes empty \
	number; do
	wait_for "the entry $id names no minion" malformed $id
done
check "no daemon has ended" same_processes
entry 127.0.0.1:9 1000 '' | write_entry late
wait_for "the list is followed" grep -q "event=minion-new .*minion=late " \
	"$DIR/d1.log" "$DIR/d2.log" "$DIR/d3.log"
: >"$DIR/accepted"
cell_submit_many batch 1 12 300
wait_for "jobs are completed beside them" cell_all_completed batch

# A holder that starts reads all of them at once.
old=$(cell_holder)
signal KILL "d$old"
wait_for "another daemon holds the term" cell_holder_is_other "$old"
cell_launch "$old"
wait_for "the daemon is ready again" cell_ready "$old"
cell_submit_many batch 13 24 300
wait_for "jobs are completed after a takeover" cell_all_completed batch
check "no daemon has ended" same_processes
cell_check_invariants
