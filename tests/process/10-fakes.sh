#!/bin/sh
# Tests the test doubles. Guards against a double that violates the protocol or
# does not apply a fault, which would make other tests pass vacuously.
set -u
. tests/process/lib.sh
test_open 10-fakes 24000
kv=http://$STORE/v1/kv
worker=127.0.0.1:24010
minion=127.0.0.1:24050

start_fake store fakestore --listen "$STORE"
start_fake list fakelist --listen "$LIST" --lag-ms 4000
start_fake workers fakeworker --base-port 24010 --count 2 --cpus 4 --mem-mb 1000
start_fake minions fakeminion --base-port 24050 --count 2 --slots 2

value_of() {
	http "$kv/$1" | jq -r '.[0].Value' | base64 -d
}

store_waits() {
	[ "$(store_stat .waiting)" = "$1" ]
}

# no_answer CURL_OPTIONS...: true if there is no response within 2 s.
no_answer() {
	curl -s -m 2 -o /dev/null "$@"
	[ $? -eq 28 ]
}

sync() {
	http -X POST "http://$worker/v1/sync" -d "$1"
}

lease() {
	http -f -X PUT "http://$worker/v1/leases/$1" -d "{\"ttl_ms\":$2}" >/dev/null
}

# start_body LEASE JOB RUN_MS
start_body() {
	jq -nc --arg lease "$1" --arg job "$2" --argjson ms "$3" \
		'{lease: $lease, job: $job, task: 0, entry: "e", cpus: 3,
		mem_mb: 600, accel: 0, input: ({run_ms: $ms, output: "out",
		cpus_used: 2, tag: $job} | tojson)}'
}

start_task() {
	status_of -X POST "http://$worker/v1/tasks" -d "$(start_body "$@")"
}

# --- Store ---------------------------------------------------------------
check_equal "absent key" 404 "$(status_of "$kv/a")"
check_equal "put if absent" true "$(http -X PUT "$kv/a?cas=0" -d one)"
check_equal "put if absent, again" false "$(http -X PUT "$kv/a?cas=0" -d two)"
check_equal "value kept" one "$(value_of a)"
index=$(http "$kv/a" | jq '.[0].ModifyIndex')
check_equal "compare-and-swap" true "$(http -X PUT "$kv/a?cas=$index" -d three)"
check_equal "old index" false "$(http -X PUT "$kv/a?cas=$index" -d four)"

i=0
writers=
index=$(http "$kv/a" | jq '.[0].ModifyIndex')
while [ $i -lt 8 ]; do
	http -X PUT "$kv/a?cas=$index" -d "$i" >"$DIR/race.$i" &
	writers="$writers $!"
	i=$((i + 1))
done
# shellcheck disable=SC2086
wait $writers
check_equal "one of 8 racing writers" 1 "$(cat "$DIR"/race.? | grep -o true | wc -l)"

http "$kv/none?index=$(store_stat .index)&wait=60000ms" >"$DIR/watch" &
watch=$!
wait_for "watch on an absent key waits" store_waits 1
http -X PUT "$kv/other" -d x >/dev/null
check_equal "write of another key does not end the watch" 1 "$(store_stat .waiting)"
http -X PUT "$kv/none" -d here >/dev/null
wait $watch
check_equal "watch returns the value" here \
	"$(jq -r '.[0].Value' "$DIR/watch" | base64 -d)"
http "$kv/dir/?recurse&index=$(store_stat .index)&wait=60000ms" >"$DIR/watch" &
watch=$!
wait_for "watch on a prefix waits" store_waits 1
http -X PUT "$kv/dir/b" -d 2 >/dev/null
wait $watch
http -X PUT "$kv/dir/a" -d 1 >/dev/null
check_equal "watch on a prefix returns" dir/b "$(jq -r '.[].Key' "$DIR/watch")"
check_equal "keys in order" "dir/a dir/b" \
	"$(http "$kv/dir/?recurse" | jq -r '[.[].Key] | join(" ")')"
index=$(http "$kv/dir/b" | jq '.[0].ModifyIndex')
http -o /dev/null -w '%{http_code}' "$kv/dir/b?index=$index&wait=60000ms" >"$DIR/watch" &
watch=$!
wait_for "watch on a key waits" store_waits 1
http -X DELETE "$kv/dir/?recurse" >/dev/null
wait $watch
check_equal "watch sees the deletion" 404 "$(cat "$DIR/watch")"
check_equal "expired wait returns the value" "$(value_of a)" \
	"$(http "$kv/a?index=$(http "$kv/a" | jq '.[0].ModifyIndex')&wait=50ms" |
		jq -r '.[0].Value' | base64 -d)"
head -c 1048577 /dev/zero >"$DIR/large"
check_equal "value over 1 MB" 413 \
	"$(status_of -X PUT "$kv/large" --data-binary "@$DIR/large")"
head -c 1048576 /dev/zero >"$DIR/large"
check_equal "value of 1 MB" 200 \
	"$(status_of -X PUT "$kv/large" --data-binary "@$DIR/large")"

fault "$STORE" '{"lose_answers":1}'
check "answer of a write is lost" no_answer -X PUT "$kv/lost?cas=0" -d kept
check_equal "the write took effect" kept "$(value_of lost)"
check_equal "later writes are answered" false "$(http -X PUT "$kv/lost?cas=0" -d x)"

fault "$STORE" '{"down":true}'
check_equal "store is down" 000 "$(status_of "$kv/a")"
fault "$STORE" '{"down":false}'
check_equal "store is back" 200 "$(status_of "$kv/a")"

fault "$STORE" '{"freeze":true}'
check "frozen store does not answer" no_answer -X PUT "$kv/frozen" -d x
fault "$STORE" '{"freeze":false}'
wait_for "frozen request is served afterwards" http -f "$kv/frozen"

fault "$STORE" '{"slow_ms":4000}'
check "slow store does not answer in time" no_answer -X PUT "$kv/slow" -d x
fault "$STORE" '{"slow_ms":0}'
wait_for "slow request is served later" http -f "$kv/slow"

http "$kv/a?index=$(store_stat .index)&wait=60000ms" -m 8 >/dev/null 2>&1 &
watch=$!
wait_for "watch waits" store_waits 1
# Two requests on one connection, 6 s apart; the fault is set in between.
curl -s -m 8 --rate 10/m "$kv/a" -o "$DIR/first" "$kv/a" -o "$DIR/second" &
reuse=$!
wait_for "first answer" test -s "$DIR/first"
fault "$STORE" '{"silent":true}'
check_equal "new connection works" 200 "$(status_of -X PUT "$kv/a" -d five)"
wait $watch
check_equal "open connection is silent" 28 $?
wait $reuse
check_equal "idle connection is silent" 28 $?
check_equal "unknown fault is refused" 400 \
	"$(status_of -X POST "http://$STORE/fault" -d '{"dwon":true}')"

# --- Workers -------------------------------------------------------------
check_equal "start under an unknown lease" 409 "$(start_task l0 j0 10)"
lease l1 20000
check_equal "start" 200 "$(start_task l1 j1 50)"
check_equal "sync is answered by the end of a task" "l1 done out 2" \
	"$(sync '{"renew":["l1"],"ttl_ms":20000,"wait_ms":60000,"ack":[]}' |
		jq -r '.leases[0] | "\(.id) \(.task.state) \(.task.output) \(.task.cpus_used)"')"
check_equal "ended task stays listed" 1 \
	"$(sync '{"renew":[],"ttl_ms":1000,"wait_ms":0,"ack":[]}' | jq '.leases | length')"
check_equal "acknowledged task is removed" 0 \
	"$(sync '{"renew":[],"ttl_ms":1000,"wait_ms":0,"ack":["l1"]}' | jq '.leases | length')"

lease l2 2000
check_equal "lease without a task is listed" null \
	"$(sync '{"renew":[],"ttl_ms":2000,"wait_ms":0,"ack":[]}' | jq -c '.leases[0].task')"
no_leases() {
	[ "$(observe "$worker" '.workers[0].leases')" = 0 ]
}
wait_for "lease lapses" no_leases
check_equal "start under a lapsed lease" 409 "$(start_task l2 j2 10)"
check_equal "task without a lease did not run" null "$(observe "$worker" '.tasks["j2.0"].starts')"

lease l3 2000
check_equal "start under a short lease" 200 "$(start_task l3 j3 600000)"
check_equal "task is killed when its lease lapses" failed \
	"$(sync '{"renew":[],"ttl_ms":2000,"wait_ms":60000,"ack":[]}' |
		jq -r '.leases[0].task.state')"
check_equal "killed task does not run" 0 "$(observe "$worker" '.tasks["j3.0"].running')"

lease l4 20000
start_task l4 j4 600000 >/dev/null
check_equal "stop" 200 "$(status_of -X DELETE "http://$worker/v1/tasks/l4")"
check_equal "stop has taken effect" 0 "$(observe "$worker" .running)"
check_equal "start after a stop" 409 "$(start_task l4 j4 10)"
sync '{"renew":[],"ttl_ms":1000,"wait_ms":0,"ack":["l3","l4"]}' >/dev/null

lease l5 500
fault "$worker" '{"freeze":true}'
check "frozen worker does not answer a start" no_answer -X POST \
	"http://$worker/v1/tasks" -d "$(start_body l5 j5 10)"
wait_for "lease lapses during the freeze" no_leases
refused=$(observe "$worker" .refused_starts)
fault "$worker" '{"freeze":false}'
wait_for "late start is refused" observe_at_least "$worker" \
	.refused_starts $((refused + 1))
check_equal "late start did not run" null \
	"$(observe "$worker" '.tasks["j5.0"].starts')"

lease l6 20000
fault "$worker" '{"lose_answers":1}'
check "answer of a start is lost" no_answer -X POST \
	"http://$worker/v1/tasks" -d "$(start_body l6 j6 600000)"
check_equal "task runs" 1 "$(observe "$worker" '.tasks["j6.0"].running')"
check_equal "no violation so far" "0 0" \
	"$(observe "$worker" '"\(.overlaps) \(.overcommits)"')"
lease l7 20000
start_task l7 j6 600000 >/dev/null
check_equal "second run of a task is counted" "1 1 2" \
	"$(observe "$worker" '"\(.overlaps) \(.overcommits) \(.tags.j6.max_running)"')"
check_equal "declared maximum" "6 1200" \
	"$(observe "$worker" '.workers[0] | "\(.max_cpus) \(.max_mem_mb)"')"
fault "$worker" '{"fail":true}'
lease l8 20000
start_task l8 j8 600000 >/dev/null
failed_l8() {
	sync '{"renew":[],"ttl_ms":20000,"wait_ms":0,"ack":[]}' |
		jq -e '.leases[] | select(.id == "l8").task.state == "failed"'
}
wait_for "failing worker fails what it starts" failed_l8

fault "$worker" '{"fail":false}'
fault "$worker" '{"down":true,"port":24011}'
check_equal "fault of one port" "000 200" \
	"$(status_of "http://127.0.0.1:24011/v1/sync" -d '{}') \
$(status_of "http://$worker/v1/sync" -d '{}')"

# --- Minions and load generator ------------------------------------------
check_equal "echo" hello \
	"$(http -X POST -H 'X-Request-Id: r1' -H 'Idempotency-Key: k1' \
		"http://$minion/e" -d '{"text":"hello"}' | jq -r .echo.text)"
http -X POST -H 'X-Request-Id: r1' "http://$minion/e" -d '{}' >/dev/null
check_equal "runs of a request and of a key" "2 1" \
	"$(observe "$minion" '"\(.requests.r1) \(.keys.k1)"')"
"$BUILD/loadgen" --addr "$minion" --addr 127.0.0.1:24051 -n 200 -c 12 \
	--path /e --body '{"token":"@id"}' --expect '"token":"@id"' \
	--key-prefix k- >"$DIR/load.out"
check_equal "load generator" "200 200 0 0 0" \
	"$(jq -r '"\(.requests) \(.status["200"]) \(.not_sent) \(.no_answer) \(.mismatched)"' \
		"$DIR/load.out")"
# A response sent by a timer must not be delayed until the next socket event,
# which would take up to 1 s each.
"$BUILD/loadgen" --addr "$minion" -n 2000 -c 4 --max-s 60 --path /e \
	>"$DIR/timed.out"
check_equal "answers sent by timers" 2000 "$(jq .requests "$DIR/timed.out")"
check "violation of slots is counted" observe_at_least "$minion" .slot_violations 1
check_equal "connections" 0 "$(observe "$minion" .connection_violations)"
check_equal "each key ran once" 1 "$(observe "$minion" '[.keys[]] | max')"

# --- Instance list -------------------------------------------------------
etag_of() {
	http -D - -o /dev/null "http://$LIST/v1/instances?az=z" | tr -d '\r' |
		sed -n 's/^[Ee][Tt]ag: //p'
}
before=$(etag_of)
http -X PUT "http://$LIST/v1/instances/w1" -d '{"az":"z","state":"live"}' >/dev/null
check_equal "change is not visible at once" "$before" "$(etag_of)"
visible() {
	http "http://$LIST/v1/instances?az=z" | jq -e '.[0].id == "w1"'
}
wait_for "change becomes visible" visible
after=$(etag_of)
check_equal "not modified" 304 \
	"$(status_of -H "If-None-Match: $after" "http://$LIST/v1/instances?az=z")"
check_equal "other zone" '[]' "$(http "http://$LIST/v1/instances?az=y")"

for name in store list workers minions; do
	signal TERM $name
	check "$name exits with 0 on SIGTERM" exit_status $name
done
