#!/bin/sh
# A cell without faults: any daemon accepts jobs, and they run to completion.
# Guards against a broken path between caller, store, holder and minion.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
cell_open 40-cell 26000

check_equal "a job is accepted" 200 "$(cell_submit 1 batch 1 200 3)"
check_equal "a job of two steps is accepted" 200 "$(cell_submit 2 batch 2 100 2 \
	',{"count":1,"cpu":500,"mem_mb":100,"after":[0]}')"
check_equal "a quick job is accepted" 200 "$(cell_submit 3 quick 3 100 2)"
wait_for "the job is completed" cell_state_is 2 batch 1 completed
wait_for "both steps are completed" cell_state_is 3 batch 2 completed
wait_for "the quick job is completed" cell_state_is 1 quick 3 completed
check_equal "a repeated submission is accepted" 200 "$(cell_submit 3 batch 1 200 3)"
check "the quick job requested advice" test "$(platform_stat .minions.questions)" \
	-ge 1

check_equal "a long job is accepted" 200 "$(cell_submit 1 batch 4 60000 1)"
wait_for "the long job runs" cell_state_is 2 batch 4 running
check_equal "the long job is cancelled" 200 "$(status_of -X DELETE \
	-H "Host: $QUEUE_HOST" "$(cell_url 2)/batch/$(job_id 4)")"
check "the long job is reported cancelled" cell_state_is 3 batch 4 cancelled
nothing_runs() {
	[ "$(platform_stat .minions.running)" = 0 ]
}
wait_for "the run of the cancelled job is stopped" nothing_runs

check_equal "an unknown job gets status 410" 410 "$(status_of \
	-H "Host: $QUEUE_HOST" "$(cell_url 1)/batch/$(job_id 99)")"
check_equal "an unknown queue gets status 404" 404 "$(status_of \
	-H "Host: $QUEUE_HOST" "$(cell_url 1)/none/$(job_id 1)")"
check_equal "a malformed job is refused" 400 "$(status_of -X POST \
	-H "Host: $QUEUE_HOST" "$(cell_url 1)/batch/$(job_id 5)" \
	-d '{"steps":[{"count":0}]}')"
check_equal "no job is pending" 0 "$(http -H "Host: $QUEUE_HOST" \
	"$(cell_url 2)/batch/" | jq .pending)"
check "metrics are served" sh -c "curl -s \
	http://127.0.0.1:$(cell_port 1 3)/metrics | grep -q jaycelld_requests_total"
cell_check_invariants
