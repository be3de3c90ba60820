#!/bin/sh
# Drops responses to store writes that took effect, while jobs are submitted.
# Guards against treating such a write as failed and repeating it, so that a job
# runs twice, or as successful, so that an accepted job is lost.
set -u
. tests/process/lib.sh
DAEMONS=2
test_open 34-store-lost-answers 25800
cluster_start
catalogue_fill
cluster_settle
: >"$DIR/jobs"

round=1
while [ $round -le 4 ]; do
	for z in $ZONES; do
		addr=$(daemon_addr "$z" 1 callers)
		fault "$STORE" '{"lose_answers":2}'
		submit_many "$addr" invoice-run "invoice-$round-$z-" 3 200
		submit_many "$addr" recipe-run "recipe-$round-$z-" 3 500
	done
	round=$((round + 1))
done
check "jobs were accepted" test "$(count_jobs accepted)" -ge 1
addr=$(daemon_addr howrah-a 1 callers)
accepted_ended() {
	while read -r _ outcome id; do
		[ "$outcome" = accepted ] || continue
		job_is "$addr" "$id" "done" || job_is "$addr" "$id" unknown ||
			return 1
	done <"$DIR/jobs"
}
wait_for "accepted jobs have ended" accepted_ended
grep '^invoice' "$DIR/jobs" >"$DIR/jobs.invoices"
while read -r tag _ _; do
	check "$tag ran at most once" test "$(starts_of "$tag")" -le 1
done <"$DIR/jobs.invoices"
check_exclusive
check_not_run
check_observers
