#!/bin/sh
# Explains a completed and a refused job from the logs of a cell. Guards against
# log events that do not suffice to reconstruct the history of a job.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
cell_open 47-explain 27600

explain() {
	"$BUILD/jayspoke" explain "$(job_id "$1")" "$DIR"/d?.log >"$DIR/explained"
}
explained() {
	explain "$1" && grep -q "$2" "$DIR/explained"
}
check_equal "a job is accepted" 200 "$(cell_submit 1 batch 1 100 2)"
wait_for "the job is completed" cell_state_is 2 batch 1 completed
wait_for "its history is explained to the end" explained 1 'job-ended .*"completed"'
check "the acceptance is listed" grep -q 'accept .*result=stored' "$DIR/explained"
check "both starts are listed" test "$(grep -c run-start "$DIR/explained")" = 2
check "no cause of failure is named" grep -q '^first cause: none' "$DIR/explained"

fault "$STORE" '{"down":true}'
refused() {
	[ "$(cell_submit 1 batch 2 100 1)" = 503 ]
}
wait_for "a job is refused" refused
wait_for "the cause is named" explained 2 '^first cause: .*store'
fault "$STORE" '{"down":false}'

check "explaining an unknown job fails" sh -c \
	"! '$BUILD/jayspoke' explain $(job_id 77) '$DIR/d1.log' 2>/dev/null"
