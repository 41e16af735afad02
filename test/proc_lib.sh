# Callers and checks of actual runs for process tests; sourced after $bin is
# set. The journals of the endpoints record the actual runs; $dir/outcomes
# records the answers to callers, one line "KEY IDEMPOTENT OUTCOME" each.
# shellcheck shell=bash disable=SC2154
# shellcheck source=test/cluster.sh
. "$(dirname "$0")/cluster.sh"

# Longer than every lease below; the leases are short to keep the tests short.
LEASES_MS=4000
cell_settings="election = 500ms
heartbeat = 50ms
endpoint_lease = 1500ms
entry_lease = 1000ms
start_window = 500ms"

start_journalled() {
	start "endpoint$1" "$bin/gyp-endpoint" --name "vm-$1" \
	    --listen "127.0.0.1:$((base + 20 + $1))" --entries "$2" \
	    --rack "rack-$1" --data-centre "dc-$1" \
	    --journal "$dir/journal$1"
}

three_voters() {
	[ "$(ctl "$1" members | awk '$3 == "yes" && $5 == "yes"' | wc -l)" -eq 3 ]
}

has_endpoints() {
	curl -sf --max-time 5 "http://$(entry_address "$1")/v1/admin/status" |
	    grep -q "\"endpoints\":$2[,}]"
}

leader() {
	local port
	port=$(ctl "$1" members | awk '$4 == "yes" {sub(".*:", "", $2); print $2}')
	[ -n "$port" ] && echo "cell$((port - base))"
}

# led_by_another OLD ENTRY: succeeds if a replica other than OLD leads.
led_by_another() {
	local now
	now=$(leader "$2") && [ "$now" != "$1" ]
}

# start_all N: starts three replicas, two entries and N endpoints, and waits
# until both entries report all of them.
start_all() {
	local n entries
	entries=$(entry_address 1),$(entry_address 2)
	start_cell 1 --init
	start_cell 2
	start_cell 3
	start_entry 1
	start_entry 2
	for n in $(seq 1 "$1"); do
		start_journalled "$n" "$entries"
	done
	until_true three_voters 1
	until_true has_endpoints 1 "$1"
	until_true has_endpoints 2 "$1"
}

# submit_once ENTRY KEY IDEMPOTENT PAYLOAD WAIT_MS: stores headers and body in
# $dir/head.KEY and $dir/body.KEY.
submit_once() {
	curl -s --max-time $(($5 / 1000 + 10)) -D "$dir/head.$2" \
	    -o "$dir/body.$2" -X POST -H "Idempotency-Key: $2" \
	    -d "{\"kind\":\"request\",\"team\":\"rota\",\"class\":\"booking\",
\"cpu_milli\":500,\"idempotent\":$3,\"payload\":\"$4\"}" \
	    "http://$(entry_address "$1")/v1/jobs?wait_ms=$5" || true
}

outcome() {
	tr -d '\r' 2>/dev/null <"$dir/head.$1" | awk -F': ' '/^Gyp-Outcome/ {print $2}'
}

# caller ENTRY KEY IDEMPOTENT PAYLOAD: resends through alternating entries until
# an answer has a final outcome, and records it.
caller() {
	local entry=$1 final= i
	for i in $(seq 1 60); do
		rm -f "$dir/head.$2"
		submit_once "$entry" "$2" "$3" "$4" 5000
		final=$(outcome "$2")
		case $final in
		done | failed | not_run) break ;;
		esac
		# An unknown outcome is final only if it is the cell's, which
		# names the job.
		[ "$final" = unknown ] && grep -qi '^Gyp-Job' "$dir/head.$2" &&
			break
		entry=$((3 - entry))
		sleep 0.2
	done
	echo "$2 $3 ${final:-none}" >>"$dir/outcomes"
}

starts() {
	cat "$dir"/journal* 2>/dev/null | grep -c "^start .*$1" || true
}

started_at_least() {
	[ "$(starts "$1")" -ge "$2" ]
}

# Checks the answers to callers against the actual runs: no task runs in two
# places, and no job that is not idempotent starts twice.
check_guarantees() {
	cat "$dir"/journal* | sort -s -n -k4,4 | awk '
	$1 == "start" {
		split($2, a, "."); task = a[1] "." a[2]
		if (task in running) { print "two places: " $0; bad = 1 }
		running[task] = $2
	}
	($1 == "done" || $1 == "failed") {
		split($2, a, "."); task = a[1] "." a[2]
		if (running[task] == $2) delete running[task]
	}
	END { exit bad }' || fail "a task ran in two places"
	local key idempotent outcome n
	while read -r key idempotent outcome; do
		n=$(starts " key=$key;")
		case $outcome in
		done)
			[ "$n" -ge 1 ] || fail "$key: done, but never started"
			grep -q "key=$key;" "$dir/body.$key" ||
				fail "$key: the answer belongs to another job" ;;
		not_run)
			[ "$n" -eq 0 ] || fail "$key: not_run, but it started" ;;
		failed | unknown) ;;
		*) fail "$key: no final outcome: $outcome" ;;
		esac
		[ "$idempotent" = true ] || [ "$n" -le 1 ] ||
			fail "$key: not idempotent, but $n starts"
	done <"$dir/outcomes"
	echo "checked: $(wc -l <"$dir/outcomes") callers, $(starts .) starts;" \
	    "$(awk '{n[$3]++} END {for (o in n) printf "%s %d ", o, n[o]}' "$dir/outcomes")"
}
