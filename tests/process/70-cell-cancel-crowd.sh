#!/bin/sh
# A crowd cancels jobs that do not exist. Guards against a cancel that is
# answered and kept nowhere, and against a crowd that keeps others from handing
# in jobs, or fills the memory of the holder and the store.
set -u
. tests/process/lib.sh
. tests/process/cell.sh
# For trials: 0 is a run without the crowd.
CROWD=${CROWD:-9000}
KEPT=8192
# A snapshot every few batches would hold all ids each time.
CELL_SNAPSHOT_BATCHES=5000
cell_open 70-cell-cancel-crowd 32620

# cancel_ids PREFIX COUNT: prints how many answers have each status.
cancel_ids() {
	curl -s -Z --parallel-max 40 -m 60 -X DELETE \
		-H "Host: $QUEUE_HOST" -o /dev/null -w '%{http_code}\n' \
		"$(cell_url 2)/batch/$1[100000-$((100000 + $2 - 1))]" \
		2>/dev/null | sort | uniq -c | awk '{ printf "%s:%s ", $2, $1 }'
}

holder_metric() {
	http "http://127.0.0.1:$(cell_port "$(cell_holder)" 3)/metrics" |
		awk -v name="$1" '$1 == name { print $2 }'
}

holder_memory_kb() {
	awk '/^VmRSS/ { print $2 }' "/proc/$(pid_of "d$(cell_holder)")/status"
}

cell_submit_many batch 1 20 300
memory=$(holder_memory_kb)
commits=$(platform_stat .store.commits)
began=$(date +%s%N)
[ "$CROWD" -gt 0 ] && cancel_ids 0123456789 "$CROWD" >"$DIR/crowd" &
crowd=$!
cell_submit_many batch 21 60 300
wait $crowd
ms=$((($(date +%s%N) - began) / 1000000))
log_line "crowd: $(cat "$DIR/crowd" 2>/dev/null), took_ms=$ms" \
	"commits=$(($(platform_stat .store.commits) - commits))" \
	"tombstones=$(holder_metric jaycelld_tombstones)" \
	"memory_kb=$memory,$(holder_memory_kb)"
check_equal "no job was refused" 60 "$(wc -l <"$DIR/accepted")"
[ "$CROWD" -eq 0 ] && exit 0
check_equal "cancels are kept up to a bound" "410:$KEPT 503:$((CROWD - KEPT)) " \
	"$(cat "$DIR/crowd")"
check_equal "as the holder counts them" $KEPT \
	"$(holder_metric jaycelld_tombstones)"
wait_for "accepted jobs are completed" cell_all_completed batch

log_line "a job of one of the ids, after a change of the holder"
old=$(cell_holder)
signal KILL "d$old"
wait_for "another daemon holds the cell" cell_holder_is_other "$old"
DEADLINE=20
third=$((old % 3 + 1))
wait_for "daemon $third is ready" cell_ready $third
check_equal "the job is accepted" 200 "$(status_of -X POST \
	-H "Host: $QUEUE_HOST" -H 'Content-Type: application/json' \
	"$(cell_url $third)/batch/0123456789100001" -d '{"spec":"{}",
	"steps":[{"count":1,"cpu":1000,"mem_mb":500,"estimate_ms":300}]}')"
is_cancelled() {
	[ "$(http -H "Host: $QUEUE_HOST" \
		"$(cell_url $third)/batch/0123456789100001" |
		jq -r .state)" = cancelled ]
}
wait_for "the job is cancelled" is_cancelled
check_equal "it has not run" null \
	"$(platform_stat '.minions.starts["0123456789100001.0.0.0"]')"
cell_check_invariants
