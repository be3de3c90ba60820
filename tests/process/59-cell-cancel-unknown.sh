#!/bin/sh
# A client leaves while the write of its job has no response, and its cancel is
# answered before the job is stored. Guards against a job that runs after that,
# whatever daemon stores it, and under whatever holder.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
cell_open 59-cell-cancel-unknown 32500
number=0

# leave DAEMON LATE_MS: submits the next job; its client leaves before the
# store has answered the write, which is carried out LATE_MS later. Sets number.
leave() {
	code=200
	tries=0
	while [ "$code" != 000 ] && [ $tries -lt 5 ]; do
		number=$((number + 1))
		tries=$((tries + 1))
		fault_platform '{"late_writes":1,"late_ms":'"$2"'}'
		code=$(submit_within 0.15 "$1" $number)
	done
	check_equal "the client of job $number has no response" 000 "$code"
}

fault_platform() {
	http -f -X POST "http://$STORE/platform" -d "$1" >/dev/null ||
		fail "fault $1"
}

# submit_within SECONDS DAEMON NUMBER: prints the HTTP status, 000 if none.
submit_within() {
	curl -s -m "$1" -o /dev/null -w '%{http_code}' -X POST \
		-H "Host: $QUEUE_HOST" -H 'Content-Type: application/json' \
		"$(cell_url "$2")/batch/$(job_id "$3")" \
		-d '{"spec":"{\"run_ms\":3000}","steps":[{"count":1,
		"cpu":1000,"mem_mb":500,"estimate_ms":3000}]}'
}

# cancel DAEMON NUMBER: the cancel is answered with 410, or with 200 if the job
# was stored meanwhile.
cancel() {
	code=$(status_of -X DELETE -H "Host: $QUEUE_HOST" \
		"$(cell_url "$1")/batch/$(job_id "$2")")
	case $code in
	200 | 410) log_line "ok: cancel of job $2 answered $code" ;;
	*) fail "cancel of job $2 answered $code" ;;
	esac
}

has_ended_job() {
	case $(cell_state "$1" batch "$2") in
	cancelled | completed | failed) return 0 ;;
	*) return 1 ;;
	esac
}

# check_cancelled DAEMON NUMBER: once its write is carried out.
check_cancelled() {
	wait_for "job $2 has ended" has_ended_job "$1" "$2"
	check_equal "job $2 is cancelled" cancelled \
		"$(cell_state "$1" batch "$2")"
	check_equal "job $2 has not run" null \
		"$(platform_stat ".minions.starts[\"$(job_id "$2").0.0.0\"]")"
}

restart() {
	for n in "$@"; do
		cell_launch "$n"
	done
	for n in "$@"; do
		wait_for "daemon $n is ready" cell_ready "$n"
	done
}

log_line "cancelled at another daemon"
leave 1 1500
cancel 2 $number
check_cancelled 3 $number

log_line "cancelled at the daemon that took the job"
leave 1 1500
cancel 1 $number
check_cancelled 2 $number

log_line "the daemon that took the job is killed before the cancel"
taker=$(($(cell_holder) % 3 + 1))
leave $taker 1500
signal KILL "d$taker"
cancel $((taker % 3 + 1)) $number
check_cancelled $((taker % 3 + 1)) $number
restart $taker

log_line "all daemons are killed after the cancel"
leave 1 5500
cancel 2 $number
for n in 1 2 3; do
	signal KILL "d$n"
done
restart 1 2 3
check_cancelled 2 $number

log_line "a copy of the request arrives after the cancel"
number=$((number + 1))
cancel 1 $number
check_equal "no such job" none "$(cell_state 2 batch $number)"
check_equal "the copy is answered" 200 "$(submit_within 20 3 $number)"
check_cancelled 2 $number
cell_check_invariants
