# shellcheck shell=sh
# Functions to run a cell of jaycelld daemons with fakeplatform. Sourced after
# lib.sh. Ports from BASE: 0 and 2 store, 1 advice, 3.. minions, 100.. daemons,
# four ports each. Daemon 1 uses port 2 of the store, so that it can be cut off
# alone.

CELL_MINIONS=${CELL_MINIONS:-6}
CELL_DAEMONS=${CELL_DAEMONS:-3}
QUEUE_HOST=jobs.example

cell_port() {
	echo $((BASE + 100 + $1 * 4 + $2))
}

# cell_url N: base URL of daemon N for callers.
cell_url() {
	echo "http://127.0.0.1:$(cell_port "$1" 0)"
}

cell_settings() {
	cat >"$DIR/d$1.json" <<-END
		{ "name": "d$1", "az": "az-a", "region": "r",
		  "listen_callers": "127.0.0.1:$(cell_port "$1" 0)",
		  "listen_ready": "127.0.0.1:$(cell_port "$1" 1)",
		  "listen_peers": "127.0.0.1:$(cell_port "$1" 2)",
		  "listen_operators": "127.0.0.1:$(cell_port "$1" 3)",
		  "store": "127.0.0.1:$((BASE + ($1 == 1 ? 2 : 0)))", "advice": "127.0.0.1:$((BASE + 1))",
		  "cpu_share": 1.0, "lease_ms": 5500, "hold_max_ms": 6000,
		  "stop_timeout_ms": 400,
		  "status_s": 120, "grace_s": 6,
		  "snapshot_batches": ${CELL_SNAPSHOT_BATCHES:-8} }
	END
}

# cell_launch N: starts daemon N; its log is appended to DIR/dN.log.
cell_launch() {
	"$BUILD/jaycelld" -f "$DIR/d$1.json" >>"$DIR/d$1.log" \
		2>>"$DIR/d$1.err" &
	echo $! >"$DIR/d$1.pid"
}

cell_ready() {
	[ "$(status_of "http://127.0.0.1:$(cell_port "$1" 1)/ready")" = 200 ]
}

cell_config() {
	http -f -X PUT "http://$STORE/op?key=op/config" -d '{"version":'"$1"',
		"routes":[
		{"name":"batch","host":"jobs.example","prefix":"/batch/",
		 "service":"svc","priority":1,"max_attempts":2,"stretch":2.0,
		 "slo_ms":1000,"timeout_ms":3000},
		{"name":"quick","host":"jobs.example","prefix":"/quick/",
		 "service":"svc","priority":0,"max_attempts":2,"stretch":1.5,
		 "slo_ms":400,"timeout_ms":3000,
		 "advice":{"decide_ms":5,"per_item_ms":0.1,"valid_ms":2500}}],
		"services":[]}' >/dev/null
}

# cell_open NAME BASE: starts fakeplatform and the daemons; waits until they are
# ready.
cell_open() {
	test_open "$1" "$2"
	start_fake platform fakeplatform --base-port "$BASE" \
		--count $((CELL_MINIONS + 3))
	check "configuration is written" cell_config 3
	n=1
	while [ $n -le "$CELL_DAEMONS" ]; do
		cell_settings $n
		cell_launch $n
		n=$((n + 1))
	done
	n=1
	while [ $n -le "$CELL_DAEMONS" ]; do
		wait_for "daemon $n is ready" cell_ready $n
		n=$((n + 1))
	done
}

# job_id NUMBER
job_id() {
	printf '%016x' "$1"
}

# cell_submit DAEMON QUEUE NUMBER RUN_MS COUNT [STEPS]: submits a job and
# prints the HTTP status. STEPS is JSON text appended after the first step.
cell_submit() {
	status_of -X POST -H "Host: $QUEUE_HOST" \
		-H 'Content-Type: application/json' \
		"$(cell_url "$1")/$2/$(job_id "$3")" \
		-d '{"spec":"{\"run_ms\":'"$4"'}","steps":[{"count":'"$5"',
		"cpu":1000,"mem_mb":500,"estimate_ms":'"$4"'}'"${6:-}"']}'
}

# cell_state DAEMON QUEUE NUMBER: prints the state, or "none" if there is none.
cell_state() {
	http -H "Host: $QUEUE_HOST" "$(cell_url "$1")/$2/$(job_id "$3")" |
		jq -r '.state // "none"'
}

cell_state_is() {
	[ "$(cell_state "$1" "$2" "$3")" = "$4" ]
}

# cell_submit_many QUEUE FIRST LAST RUN_MS: appends the numbers of accepted
# jobs to DIR/accepted, of refused ones to DIR/refused, and of others to
# DIR/unknown.
cell_submit_many() {
	i=$2
	while [ "$i" -le "$3" ]; do
		code=$(cell_submit $((i % CELL_DAEMONS + 1)) "$1" "$i" "$4" 2)
		case $code in
		200) echo "$i" >>"$DIR/accepted" ;;
		429 | 503) echo "$i" >>"$DIR/refused" ;;
		*) echo "$i $code" >>"$DIR/unknown" ;;
		esac
		i=$((i + 1))
	done
}

# cell_all_completed QUEUE: true if every accepted job is reported completed.
cell_all_completed() {
	while read -r k; do
		cell_state_is $((k % CELL_DAEMONS + 1)) "$1" "$k" completed ||
			return 1
	done <"$DIR/accepted"
}

# cell_holder: prints the number of the daemon that holds the current term.
cell_holder() {
	http "http://$STORE/kv-key?key=jay/term/holder" | jq -r .value |
		base64 -d | sed 's/^d\([0-9]*\) .*/\1/'
}

cell_holder_is_other() {
	now_holder=$(cell_holder)
	[ -n "$now_holder" ] && [ "$now_holder" != "$1" ]
}

platform_stat() {
	http "http://$STORE/stats" | jq -r "$1"
}

# cell_check_invariants: no task ran twice, and no refused job ran.
cell_check_invariants() {
	check_equal "no task ran twice concurrently" 0 \
		"$(platform_stat .minions.twice)"
	check_equal "no task was run again after completion" 0 \
		"$(platform_stat .minions.after_done)"
	[ -e "$DIR/refused" ] || return 0
	while read -r k; do
		check_equal "refused job $k did not run" null \
			"$(platform_stat ".minions.starts[\"$(job_id "$k").0.0.0\"]")"
	done <"$DIR/refused"
}
