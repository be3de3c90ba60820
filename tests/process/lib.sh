# shellcheck shell=sh
# Functions to start a small cluster of real processes, to inject faults, and to
# read the observations of the test doubles. A script that sources this file
# calls lib_open DIR BASE_PORT first. On exit all processes are stopped by their
# process ids.
#
# Variables are global in POSIX sh: loops here use zone, number, z, n, i and k.
#
# Ports from BASE_PORT: 0, 2, 3 store (one for each zone), 1 instance list,
# 10.. 20.. 30.. workers and 50.. 60.. 70.. minions of the zones, 100.. daemons,
# three ports each.

BUILD=${BUILD:-build}
DAEMONS=${DAEMONS:-1}
TIMINGS=${TIMINGS:-"{}"}
ZONES='howrah-a nadia-b siliguri-a'
UPSTREAM=press-planner
WORKERS=4
MINIONS=4
# Timeout of wait_for, in seconds. Only a failing test reaches it.
DEADLINE=${DEADLINE:-60}

# lib_open DIR BASE_PORT
lib_open() {
	DIR=$1
	BASE=$2
	mkdir -p "$DIR"
	STORE=127.0.0.1:$BASE
	LIST=127.0.0.1:$((BASE + 1))
	KEY_FILE=$DIR/key
	trap stop_all EXIT
	trap 'exit 1' INT TERM HUP
}

# test_open NAME BASE_PORT: lib_open in a fresh directory below BUILD.
test_open() {
	rm -rf "${BUILD:?}/process/$1"
	lib_open "$BUILD/process/$1" "$2"
}

log_line() {
	echo "$(date +%H:%M:%S) $*"
}

fail() {
	log_line "FAILED: $*"
	exit 1
}

# check DESCRIPTION COMMAND...: fails the test unless the command succeeds.
check() {
	checked=$1
	shift
	"$@" || fail "$checked"
	log_line "ok: $checked"
}

# check_equal DESCRIPTION EXPECTED ACTUAL
check_equal() {
	[ "$2" = "$3" ] || fail "$1: expected '$2', got '$3'"
	log_line "ok: $1"
}

# wait_for DESCRIPTION COMMAND...: retries the command until it succeeds. Its
# output is printed only after a timeout.
wait_for() {
	what=$1
	shift
	until_s=$(($(date +%s) + DEADLINE))
	until "$@" >"$DIR/waiting" 2>&1; do
		if [ "$(date +%s)" -ge "$until_s" ]; then
			cat "$DIR/waiting"
			fail "timeout after $DEADLINE s: $what"
		fi
		sleep 0.1
	done
	log_line "ok: $what"
}

# --- Processes -----------------------------------------------------------

# start NAME COMMAND...: starts a process; its output goes to DIR/NAME.out.
start() {
	name=$1
	shift
	"$@" >"$DIR/$name.out" 2>"$DIR/$name.err" &
	echo $! >"$DIR/$name.pid"
}

pid_of() {
	cat "$DIR/$1.pid"
}

# signal SIGNAL NAME
signal() {
	kill -"$1" "$(pid_of "$2")"
}

# has_ended NAME: true if the process has exited, reaped or not.
has_ended() {
	state=$(sed -n 's/^State:[[:space:]]*\(.\).*/\1/p' \
		"/proc/$(pid_of "$1")/status" 2>/dev/null)
	[ -z "$state" ] || [ "$state" = Z ]
}

# exit_status NAME: waits until a process exits; returns its exit status.
exit_status() {
	wait_for "$1 has ended" has_ended "$1"
	wait "$(pid_of "$1")"
	status=$?
	rm -f "$DIR/$1.pid"
	return $status
}

# stop_all: stops all processes by SIGTERM, after a timeout by SIGKILL.
stop_all() {
	trap - EXIT
	for sig in CONT TERM; do
		for f in "$DIR"/*.pid; do
			[ -e "$f" ] && kill -$sig "$(cat "$f")" 2>/dev/null
		done
	done
	tries=50
	for f in "$DIR"/*.pid; do
		[ -e "$f" ] || continue
		name=$(basename "$f" .pid)
		while [ $tries -gt 0 ] && ! has_ended "$name"; do
			tries=$((tries - 1))
			sleep 0.1
		done
		has_ended "$name" || kill -KILL "$(cat "$f")" 2>/dev/null
		rm -f "$f"
	done
}

is_ready() {
	grep -q '^ready$' "$DIR/$1.out"
}

# start_fake NAME PROGRAM OPTIONS...: starts a test double; returns when it
# listens.
start_fake() {
	name=$1
	program=$2
	shift 2
	start "$name" "$BUILD/$program" "$@"
	wait_for "$name listens" is_ready "$name"
}

# --- HTTP ----------------------------------------------------------------

# http CURL_OPTIONS...: sends a request, with a timeout.
http() {
	curl -sS -m 20 "$@"
}

# status_of CURL_OPTIONS...: prints the status code.
status_of() {
	curl -s -m 20 -o /dev/null -w '%{http_code}' "$@"
}

# fault ADDRESS JSON: sets the faults of a test double.
fault() {
	http -f -X POST "http://$1/fault" -d "$2" >/dev/null ||
		fail "fault $2 at $1"
}

# observe ADDRESS FILTER: prints a value that a test double observed.
observe() {
	http "http://$1/observe" | jq -r "$2"
}

# observe_at_least ADDRESS FILTER N
observe_at_least() {
	[ "$(observe "$1" "$2")" -ge "$3" ]
}

# store_stat FILTER
store_stat() {
	http "http://$STORE/stats" | jq -r "$1"
}

# --- Cluster -------------------------------------------------------------

# zone_index AZ
zone_index() {
	case $1 in
	howrah-a) echo 0 ;;
	nadia-b) echo 1 ;;
	siliguri-a) echo 2 ;;
	*) fail "unknown zone $1" ;;
	esac
}

# workers_of AZ, minions_of AZ: address of the first one; all share a process.
workers_of() {
	echo "127.0.0.1:$((BASE + 10 + 10 * $(zone_index "$1")))"
}

minions_of() {
	echo "127.0.0.1:$((BASE + 50 + 10 * $(zone_index "$1")))"
}

# store_of AZ: address at which the daemons of a zone reach the store.
store_of() {
	case $1 in
	howrah-a) echo "127.0.0.1:$BASE" ;;
	nadia-b) echo "127.0.0.1:$((BASE + 2))" ;;
	*) echo "127.0.0.1:$((BASE + 3))" ;;
	esac
}

# cut_store AZ true|false: makes the store unreachable for the daemons of one
# zone, or reachable again.
cut_store() {
	a=$(store_of "$1")
	fault "$a" "{\"down\":$2,\"port\":${a#*:}}"
}

# daemon_addr AZ NUMBER callers|operators|peers
daemon_addr() {
	port=$((BASE + 100 + 30 * $(zone_index "$1") + 3 * ($2 - 1)))
	case $3 in
	operators) port=$((port + 1)) ;;
	peers) port=$((port + 2)) ;;
	esac
	echo "127.0.0.1:$port"
}

# daemon_id AZ NUMBER: a restarted daemon gets a new id, as the design requires.
daemon_id() {
	echo "$1-d$2g$(cat "$DIR/$1-d$2.gen" 2>/dev/null || echo 1)"
}

# daemon_name AZ NUMBER: process name for signal, pid_of and exit_status.
daemon_name() {
	echo "$1-d$2"
}

# all_daemons: prints "AZ NUMBER" lines.
all_daemons() {
	for z in $ZONES; do
		n=1
		while [ $n -le "$DAEMONS" ]; do
			echo "$z $n"
			n=$((n + 1))
		done
	done
}

# caller_addrs: caller address of each daemon.
caller_addrs() {
	all_daemons | while read -r z n; do
		daemon_addr "$z" "$n" callers
	done
}

# loadgen_addrs: caller addresses as options of loadgen.
loadgen_addrs() {
	caller_addrs | sed 's/^/--addr /'
}

write_instances() {
	for z in $ZONES; do
		i=0
		while [ $i -lt $WORKERS ]; do
			a=$(workers_of "$z")
			jq -nc --arg id "$z-w$((i + 1))" --arg az "$z" \
				--arg rack "$z-r$((i / 2 + 1))" \
				--arg addr "127.0.0.1:$((${a#*:} + i))" \
				'{id: $id, kind: "worker", az: $az, rack: $rack,
				addr: $addr, state: "live", cpus: 64,
				mem_mb: 262144, accel: 4}'
			i=$((i + 1))
		done
		i=0
		while [ $i -lt $MINIONS ]; do
			a=$(minions_of "$z")
			jq -nc --arg id "$z-m$((i + 1))" --arg az "$z" \
				--arg addr "127.0.0.1:$((${a#*:} + i))" \
				--arg upstream $UPSTREAM \
				'{id: $id, kind: "minion", az: $az, rack: "r1",
				addr: $addr, state: "live", upstream: $upstream,
				slots: 8, connections: 64}'
			i=$((i + 1))
		done
	done | jq -s . >"$DIR/instances.json"
}

# write_settings AZ NUMBER: writes the settings file of a daemon.
write_settings() {
	all_daemons | while read -r z n; do
		[ "$z $n" = "$1 $2" ] && continue
		jq -nc --arg id "$(daemon_id "$z" "$n")" --arg az "$z" \
			--arg addr "$(daemon_addr "$z" "$n" peers)" \
			'{id: $id, az: $az, addr: $addr}'
	done | jq -s . >"$DIR/peers.json"
	jq -n --arg id "$(daemon_id "$1" "$2")" --arg az "$1" \
		--arg callers "$(daemon_addr "$1" "$2" callers)" \
		--arg operators "$(daemon_addr "$1" "$2" operators)" \
		--arg peers "$(daemon_addr "$1" "$2" peers)" \
		--arg store "$(store_of "$1")" --arg instances "$LIST" \
		--arg key_file "$KEY_FILE" --slurpfile known "$DIR/peers.json" \
		--argjson timings "$TIMINGS" \
		'{id: $id, az: $az, listen: {callers: $callers,
		operators: $operators, peers: $peers}, store: $store,
		instances: $instances, key_file: $key_file,
		zones: {"howrah-a": "bengal-south", "nadia-b": "bengal-south",
		"siliguri-a": "bengal-north"}, peers: $known[0],
		log_level: "info", timings: $timings}' \
		>"$DIR/$1-d$2.json"
}

# list_daemon AZ NUMBER: adds the daemon to the instance list.
list_daemon() {
	http -f -X PUT "http://$LIST/v1/instances/$(daemon_id "$1" "$2")" \
		-d "{\"kind\":\"daemon\",\"az\":\"$1\",\"rack\":\"r1\",
		\"addr\":\"$(daemon_addr "$1" "$2" peers)\",
		\"state\":\"live\"}" >/dev/null || fail "instance list"
}

# daemon_is_ready AZ NUMBER
daemon_is_ready() {
	[ "$(status_of "http://$(daemon_addr "$1" "$2" callers)/readyz")" = 200 ]
}

# daemon_launch AZ NUMBER: starts a daemon without waiting until it is ready.
daemon_launch() {
	[ -x "$BUILD/jayspoked" ] || fail "$BUILD/jayspoked is missing"
	write_settings "$1" "$2"
	list_daemon "$1" "$2"
	start "$(daemon_name "$1" "$2")" "$BUILD/jayspoked" -f \
		"$DIR/$1-d$2.json"
}

# daemon_restart AZ NUMBER: starts a successor of a daemon that has exited.
daemon_restart() {
	http -X DELETE "http://$LIST/v1/instances/$(daemon_id "$1" "$2")" \
		>/dev/null
	gen=$(cat "$DIR/$1-d$2.gen" 2>/dev/null || echo 1)
	echo $((gen + 1)) >"$DIR/$1-d$2.gen"
	daemon_launch "$1" "$2"
	wait_for "$(daemon_id "$1" "$2") is ready" daemon_is_ready "$1" "$2"
}

# cluster_start: starts the test doubles and all daemons; waits until all are
# ready.
cluster_start() {
	od -An -N16 -tx1 /dev/urandom | tr -d ' \n' >"$KEY_FILE"
	chmod 600 "$KEY_FILE"
	write_instances
	start_fake store fakestore --listen "$STORE" \
		--listen "$(store_of nadia-b)" --listen "$(store_of siliguri-a)"
	start_fake list fakelist --listen "$LIST" --file "$DIR/instances.json"
	for zone in $ZONES; do
		a=$(workers_of "$zone")
		start_fake "$zone-workers" fakeworker --base-port "${a#*:}" \
			--count $WORKERS --cpus 64 --mem-mb 262144 --accel 4
		a=$(minions_of "$zone")
		start_fake "$zone-minions" fakeminion --base-port "${a#*:}" \
			--count $MINIONS --slots 8 --connections 64 \
			--id-prefix "$zone-m"
	done
	all_daemons >"$DIR/daemons"
	while read -r zone number; do
		daemon_launch "$zone" "$number"
	done <"$DIR/daemons"
	while read -r zone number; do
		wait_for "$(daemon_id "$zone" "$number") is ready" \
			daemon_is_ready "$zone" "$number"
	done <"$DIR/daemons"
}

# claim_names AZ ID: true when the zone's claim in the store contains the id.
claim_names() {
	http -f "http://$STORE/v1/kv/jayspoke/$1/claim" 2>/dev/null |
		jq -r '.[0].Value' | base64 -d 2>/dev/null | grep -aqF "$2"
}

# holder_of AZ: prints the number of the daemon that the claim names.
holder_of() {
	n=1
	while [ $n -le "$DAEMONS" ]; do
		if claim_names "$1" "$(daemon_id "$1" $n)"; then
			echo $n
			return 0
		fi
		n=$((n + 1))
	done
	return 1
}

# holder_is_other AZ NUMBER: true when another daemon holds the zone.
holder_is_other() {
	h=$(holder_of "$1") && [ "$h" != "$2" ]
}

# --- Catalogue -----------------------------------------------------------

# catalogue_revision ADDRESS
catalogue_revision() {
	http -H "Authorization: Bearer $(cat "$KEY_FILE")" \
		"http://$1/v1/catalogue" | jq -r .revision
}

# catalogue_edit ADDRESS CHANGES: true when the edit was accepted.
catalogue_edit() {
	revision=$(catalogue_revision "$1") || return 1
	http -f -X PUT -H "Authorization: Bearer $(cat "$KEY_FILE")" \
		"http://$1/v1/catalogue" \
		-d "{\"revision\":${revision:-0},\"changes\":$2}"
}

# catalogue_has ADDRESS ENTRY FIELD VALUE
catalogue_has() {
	http -H "Authorization: Bearer $(cat "$KEY_FILE")" \
		"http://$1/v1/catalogue" |
		jq -e --arg name "$2" --arg field "$3" --argjson value "$4" \
			'[.. | objects | select(.name? == $name)
			| .[$field]] | any(. == $value)'
}

# catalogue_has_everywhere ENTRY FIELD VALUE
catalogue_has_everywhere() {
	while read -r zone number; do
		catalogue_has "$(daemon_addr "$zone" "$number" operators)" \
			"$1" "$2" "$3" || return 1
	done <"$DIR/daemons"
}

# entry NAME CLASS EXTRA: prints a set_entry change.
entry() {
	jq -nc --arg name "$1" --arg class "$2" --argjson extra "$3" \
		'{set_entry: ({name: $name, owner: "loomline", class: $class,
		timeout_ms: 20000, max_running: 1000, max_queued: 10000}
		+ $extra)}'
}

# catalogue_fill: sets the entries that the tests use and waits until every
# daemon has them.
catalogue_fill() {
	{
		echo '{"set_owner":{"name":"loomline","weight":1,
			"max_cpus":100000,"max_mem_mb":100000000,
			"max_accel":1000}}'
		entry layout-preview interactive \
			'{"upstream":"press-planner","repeat":true}'
		entry stock-check interactive \
			'{"upstream":"press-planner","repeat":false}'
		entry layout-render batch '{"cpus":2,"mem_mb":1024,
			"run_ms":500,"repeat":true}'
		# At most 3 of its jobs run at a time; the others queue.
		entry layout-series batch '{"cpus":2,"mem_mb":1024,
			"run_ms":1500,"repeat":true,"max_running":3}'
		entry recipe-run batch '{"cpus":2,"mem_mb":1024,
			"run_ms":1500,"repeat":true,"exclusive":true}'
		entry invoice-run batch '{"cpus":1,"mem_mb":512,
			"run_ms":300,"repeat":false}'
		entry press-gang gang '{"cpus":4,"mem_mb":2048,"tasks":3,
			"run_ms":1000,"repeat":true}'
	} | jq -sc . >"$DIR/changes.json"
	a=$(daemon_addr howrah-a 1 operators)
	wait_for "catalogue accepted" catalogue_edit "$a" \
		"$(cat "$DIR/changes.json")"
	wait_for "catalogue in force everywhere" \
		catalogue_has_everywhere press-gang tasks 3
}

# accepts_jobs ADDRESS: true when jobs of several home zones are accepted.
accepts_jobs() {
	for k in 1 2 3 4 5 6; do
		settle=$((settle + 1))
		submit "$1" layout-render "settle-$settle" 10 |
			grep -q accepted || return 1
	done
}

# cluster_settle: waits until every zone has a holder and every daemon accepts
# jobs.
cluster_settle() {
	settle=0
	for zone in $ZONES; do
		wait_for "$zone has a holder" holder_of "$zone"
	done
	while read -r zone number; do
		wait_for "$(daemon_id "$zone" "$number") accepts jobs" \
			accepts_jobs "$(daemon_addr "$zone" "$number" callers)"
	done <"$DIR/daemons"
}

# --- Jobs and load -------------------------------------------------------

# submit ADDRESS ENTRY TAG RUN_MS: submits a job with the tag as its key.
# Prints "OUTCOME ID"; the id is "-" if the response has none.
submit() {
	jq -nc --arg entry "$2" --arg tag "$3" --argjson ms "$4" \
		'{entry: $entry, input: ({run_ms: $ms, tag: $tag,
		output: ("answer " + $tag)} | tojson)}' >"$DIR/$3.request"
	curl -s -m 20 -D "$DIR/$3.head" -o "$DIR/$3.body" -X POST \
		-H "Idempotency-Key: $3" -H 'Content-Type: application/json' \
		"http://$1/v1/jobs" --data-binary "@$DIR/$3.request" ||
		{
			echo "no-answer -"
			return 0
		}
	id=$(jq -r '.id // .job // "-"' "$DIR/$3.body" 2>/dev/null)
	echo "$(outcome_in "$DIR/$3.head") ${id:--}"
}

# outcome_in FILE: prints the X-Outcome of a header file.
outcome_in() {
	tr -d '\r' <"$1" | sed -n 's/^[Xx]-[Oo]utcome: *//p' | tail -n 1
}

# job_outcome ADDRESS ID: prints the outcome; the body goes to DIR/job.body.
job_outcome() {
	: >"$DIR/job.head"
	curl -s -m 20 -D "$DIR/job.head" -o "$DIR/job.body" \
		"http://$1/v1/jobs/$2"
	outcome_in "$DIR/job.head"
}

# job_is ADDRESS ID OUTCOME
job_is() {
	[ "$(job_outcome "$1" "$2")" = "$3" ]
}

# submit_many ADDRESS ENTRY PREFIX COUNT RUN_MS: appends "TAG OUTCOME ID" lines
# to DIR/jobs.
submit_many() {
	k=1
	while [ "$k" -le "$4" ]; do
		echo "$3$k $(submit "$1" "$2" "$3$k" "$5")" >>"$DIR/jobs"
		k=$((k + 1))
	done
}

# accepted_jobs_done ADDRESS: true when every accepted job in DIR/jobs is done.
accepted_jobs_done() {
	while read -r tag outcome id; do
		[ "$outcome" = accepted ] || continue
		last=$(job_outcome "$1" "$id")
		if [ "$last" != "done" ]; then
			echo "job $id of $tag: $last"
			return 1
		fi
	done <"$DIR/jobs"
}

count_jobs() {
	awk -v o="$1" '$2 == o' "$DIR/jobs" | wc -l
}

# starts_of TAG: number of task starts with this tag on the workers of all
# zones.
starts_of() {
	total=0
	for zone in $ZONES; do
		s=$(observe "$(workers_of "$zone")" ".tags[\"$1\"].starts // 0")
		total=$((total + s))
	done
	echo $total
}

# max_running_of TAG: highest number of simultaneous runs in one zone.
max_running_of() {
	for zone in $ZONES; do
		observe "$(workers_of "$zone")" ".tags[\"$1\"].max_running // 0"
	done | sort -n | tail -n 1
}

# zones_of TAG: number of zones whose workers started tasks with this tag.
zones_of() {
	for zone in $ZONES; do
		observe "$(workers_of "$zone")" ".tags[\"$1\"] // empty"
	done | grep -c starts
}

# check_exclusive: every accepted job in DIR/jobs whose tag does not begin with
# "invoice" ran, in a single zone, and never twice concurrently.
check_exclusive() {
	while read -r tag outcome _; do
		case $outcome-$tag in
		accepted-invoice*) ;;
		accepted-*)
			check_equal "$tag never ran twice concurrently" 1 \
				"$(max_running_of "$tag")"
			check_equal "$tag ran in one zone" 1 \
				"$(zones_of "$tag")"
			;;
		esac
	done <"$DIR/jobs"
}

# check_observers: invariants of every test, as seen by the test doubles.
check_observers() {
	for zone in $ZONES; do
		w=$(workers_of "$zone")
		m=$(minions_of "$zone")
		check_equal "$zone: overlapping runs" 0 \
			"$(observe "$w" .overlaps)"
		check_equal "$zone: workers over their capacity" 0 \
			"$(observe "$w" .overcommits)"
		check_equal "$zone: minions over their slots" 0 \
			"$(observe "$m" .slot_violations)"
		check_equal "$zone: minions over their connections" 0 \
			"$(observe "$m" .connection_violations)"
	done
}

# check_not_run: no job with the outcome "not-run" was started.
check_not_run() {
	while read -r tag outcome _; do
		[ "$outcome" = not-run ] || continue
		check_equal "$tag with outcome not-run was not started" 0 \
			"$(starts_of "$tag")"
	done <"$DIR/jobs"
}

# load_start NAME LOADGEN_OPTIONS...: starts loadgen in the background on all
# daemons.
load_start() {
	load=$1
	shift
	# shellcheck disable=SC2046
	start "$load" "$BUILD/loadgen" $(loadgen_addrs) --readyz "$@"
}

# load_stop NAME: stops loadgen after its requests in flight; prints its result.
load_stop() {
	signal TERM "$1" 2>/dev/null
	exit_status "$1" || fail "loadgen $1"
	cat "$DIR/$1.out"
}

# check_all_done NAME: every request was done and got its own response.
check_all_done() {
	check_equal "$1: requests that were not done" 0 \
		"$(jq '.requests - .outcomes.done' "$DIR/$1.out")"
	check_equal "$1: responses to another request" 0 \
		"$(jq .mismatched "$DIR/$1.out")"
	check "$1: requests were sent" \
		jq -e '.requests > 0' "$DIR/$1.out"
}
