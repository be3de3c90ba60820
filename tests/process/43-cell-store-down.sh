#!/bin/sh
# Store outage while jobs run. Guards against jobs that are accepted without a
# durable record, refused jobs that run, and a cell that does not recover.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
cell_open 43-cell-store-down 26600

cell_submit_many batch 1 12 2500
fault "$STORE" '{"down":true}'
refused() {
	tries=$((tries + 1))
	[ "$(cell_submit 1 batch $((500 + tries)) 100 1)" = 503 ] || return 1
	echo $((500 + tries)) >>"$DIR/refused"
}
tries=0
wait_for "a new job is refused as not run" refused
http -D "$DIR/head" -X POST -H "Host: $QUEUE_HOST" \
	"$(cell_url 1)/batch/$(job_id 700)" \
	-d '{"spec":"{}","steps":[{"count":1,"cpu":1,"mem_mb":1}]}' >/dev/null
check "the refusal has a Retry-After header" grep -qi '^retry-after: [12]' \
	"$DIR/head"
echo 700 >>"$DIR/refused"
sleep 3
fault "$STORE" '{"down":false}'
accepted_again() {
	again=$((again + 1))
	[ "$(cell_submit 2 batch $((800 + again)) 100 1)" = 200 ] || return 1
	echo $((800 + again)) >>"$DIR/accepted"
}
again=0
wait_for "jobs are accepted again" accepted_again
wait_for "accepted jobs are completed" cell_all_completed batch
cell_check_invariants
