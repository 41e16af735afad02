#!/usr/bin/env bash
# Tests the real programs with a manifest that has workspaces: who is admitted,
# what is refused on a pool without free capacity, removed keys on an open
# connection, and that no key is logged or readable by others.
# Usage: workspaces.sh BIN
set -eu
bin=$1
dir=$(mktemp -d)
pids=()
trap 'kill -9 "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null; rm -rf "$dir"' EXIT

# shellcheck source=test/pf_cluster.sh
. "$(dirname "$0")/pf_cluster.sh"
set_addresses 0
for i in 0 1 2; do
	write_cell "$i" yes
	"$bin/gyp-cell" --config "$dir/cell-$i.ini" >"$dir/cell-$i.log" 2>&1 &
	pids+=($!)
done
for i in 0 1; do
	write_entry "$i" yes
	"$bin/gyp-entry" --config "$dir/entry-$i.ini" >"$dir/entry-$i.log" 2>&1 &
	pids+=($!)
done

fail() {
	echo "$1"
	tail -n 5 "$dir"/*.log
	exit 1
}
# manifest VERSION KEYS_OF_A KEYS_OF_B: puts a manifest; prints the status.
manifest() {
	local pool='"host":"h","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":250,"priority":0,"backend":"pool","max_attempts":5,"stretch":1.5'
	curl -s -o "$dir/body" -w '%{http_code}' -m 3 -X PUT \
		"http://127.0.0.1:$((base + 10 + ${4:-0}))/api/config" -d '{"version":'"$1"',
		"routes":[{"name":"q","path_prefix":"/q/",'"$pool"'},
		{"name":"open","path_prefix":"/open/","public":true,'"$pool"'}],
		"backends":[{"name":"pool"}],
		"tenants":[{"name":"a","api_keys":['"$2"'],"weight":2},
		{"name":"b","api_keys":['"$3"'],"weight":50,"cap":{"cpu":2000}}]}' ||
		true
}
# put VERSION KEYS_OF_A KEYS_OF_B: until one of the replicas acknowledges it.
put() {
	for try in $(seq 100); do
		[ "$(manifest "$1" "$2" "$3" $((try % 3)))" = 200 ] && return
		sleep 0.1
	done
	fail "manifest $1 is not acknowledged"
}
# call METHOD PATH [KEY] [ENTRY]: prints the status of a call.
call() {
	local args=(-s -D "$dir/headers" -o "$dir/body" -w '%{http_code}' -m 5
		-X "$1" -H 'Host: h')
	[ -z "${3:-}" ] || args+=(-H "Authorization: Bearer $3")
	[ "$1" != POST ] || args+=(-d '{"task_spec":"t","steps":[{"count":1,"cpu":1000}]}')
	curl "${args[@]}" "http://127.0.0.1:$((base + 20 + ${4:-0}))$2" || true
}
# expect STATUS CALL...: the call is repeated while there is no leader.
expect() {
	local status
	for _ in $(seq 50); do
		status=$(call "${@:2}")
		case $status in 000 | 503 | 504) sleep 0.1 ;; *) break ;; esac
	done
	[ "$status" = "$1" ] || fail "${*:2}: $status, expected $1"
}
id() { printf '/q/%016x' "$1"; }

put 1 '"secret-a1","secret-a2"' '"secret-b"'
for _ in $(seq 100); do
	[ "$(call GET /q/ secret-a1)" = 200 ] && [ "$(call GET /q/ secret-a1 1)" = 200 ] && break
	sleep 0.1
done

# Without a key, with a wrong one, and the beginning of one.
expect 401 POST "$(id 1)"
grep -qi '^WWW-Authenticate: Bearer' "$dir/headers" || fail "no WWW-Authenticate"
expect 401 POST "$(id 1)" wrong
expect 401 POST "$(id 1)" secret-a
expect 401 GET "$(id 1)"
expect 410 GET "$(id 1)" secret-a1

# Both keys of the workspace, the other workspace, and the public route, which
# gives no access to jobs of the others.
expect 200 POST "$(id 1)" secret-a1
expect 200 GET "$(id 1)" secret-a2 1
for method in GET POST DELETE; do expect 403 $method "$(id 1)" secret-b; done
expect 200 POST /open/0000000000000002
expect 200 GET /open/0000000000000002 "" 1
expect 403 GET /open/0000000000000001
expect 403 DELETE /open/0000000000000001
expect 200 GET "$(id 1)" secret-a1

# The pool has no endpoint: "a" gets about its rate, "b" is not affected.
accepted=0 refused=0 start=$(date +%s%N)
for i in $(seq 100 160); do
	case $(call POST "$(id "$i")" secret-a2) in
	200) accepted=$((accepted + 1)) ;;
	429)
		refused=$((refused + 1)) last_refused=$i
		grep -qiE '^Retry-After: ([1-9]|[12][0-9]|30)\s*$' "$dir/headers" ||
			fail "429 without a valid Retry-After"
		;;
	503 | 504) ;; # no leader
	*) fail "unexpected status of job $i" ;;
	esac
	[ $((i % 6)) -ne 0 ] || expect 200 POST "$(id $((i + 1000)))" secret-b
done
most=$((2 + 2 * ($(date +%s%N) - start) / 1000000000 + 1))
[ "$accepted" -ge 1 ] && [ "$accepted" -le "$most" ] && [ "$refused" -ge 30 ] ||
	fail "accepted=$accepted of at most $most, refused=$refused"
expect 410 GET "$(id "$last_refused")" secret-a1

# Invalid manifests leave the one in force.
for try in $(seq 100); do
	status=$(manifest 2 '"secret-b"' '"secret-b"' $((try % 3)))
	[ "$status" = 503 ] || break # only the leader reads a manifest
	sleep 0.1
done
[ "$status" = 400 ] || fail "shared key accepted: $status"
grep -q 'share a key' "$dir/body" || fail "no reason: $(cat "$dir/body")"
! grep -q secret "$dir/body" || fail "the reason contains a key"
expect 200 GET "$(id 1)" secret-a1

# A key is removed while a connection with it is open: curl sends one call every
# 0.2 s on it, the later ones more than 5 s after the acknowledgement.
urls=()
for _ in $(seq 40); do urls+=("http://127.0.0.1:$((base + 21))$(id 1)"); done
curl -s -m 30 --rate 5/s -H 'Host: h' -H 'Authorization: Bearer secret-a1' \
	-w '\n%{http_code} %{num_connects}\n' "${urls[@]}" >"$dir/open" &
open=$!
sleep 1
put 2 '"secret-a2","secret-a3"' '"secret-b"'
expect 200 GET "$(id 1)" secret-a3 1
wait "$open"
grep -xE '[0-9]{3} [01]' "$dir/open" >"$dir/statuses"
[ "$(head -n 1 "$dir/statuses")" = "200 1" ] || fail "no call on the connection"
! tail -n +2 "$dir/statuses" | grep -q ' 1$' || fail "the connection was not kept"
! tail -n 5 "$dir/statuses" | grep -qv '^401 ' || fail "a removed key is accepted"
for entry in 0 1; do expect 401 GET "$(id 1)" secret-a1 "$entry"; done

# Keys are in no log, metrics or file that others may read.
for port in 10 11 12; do curl -s "http://127.0.0.1:$((base + port))/metrics" >>"$dir/metrics"; done
for i in 0 1; do curl -s "http://127.0.0.$((2 + i)):$((base + 30 + i))/metrics" >>"$dir/metrics"; done
grep -q gyp_flow_submits_total "$dir/metrics" || fail "no metrics"
! grep -l secret "$dir/metrics" "$dir"/*.log || fail "a key is logged"
[ -z "$(find "$dir"/data-* -type f -perm /077)" ] || fail "files of others: $(find "$dir"/data-* -type f -perm /077)"
echo "workspaces: ok, accepted=$accepted refused=$refused"
