#!/usr/bin/env bash
# Updates the measured tables of a page (docs/CAPACITY.md): the cores in virtual
# time, then the cost of HTTP and sockets, with real processes on loopback.
# usage: capacity.sh BIN PAGE
set -eu
bin=$1
page=$2
repeats=2000
name=capacity
# shellcheck source=tools/small_cell.sh
. "$(dirname "${BASH_SOURCE[0]}")/../tools/small_cell.sh"
url=http://127.0.0.1:$((base + 11))

start_cells
start_entry 1
wait_for "$url/v1/admin/members" '"voter":true.*"voter":true.*"voter":true'

# cpu_us PID: CPU time so far, in microseconds.
cpu_us() {
	awk '{ printf "%d", $1 / 1000 }' "/proc/$1/schedstat"
}

# resident PID: resident and anonymous memory, in KB, as "RSS | ANON".
resident() {
	awk '/^VmRSS/ { rss = $2 } /^RssAnon/ { anon = $2 }
	    END { print rss " | " anon }' "/proc/$1/status"
}

# measure NAME PATH BODY [ARG...]: prints the cost of a call over a persistent
# connection. ARGs go to curl. pids[0] is the leader, pids[3] the entry.
measure() {
	local name=$1 path=$2 body=$3 i before=() after=() sizes
	for i in 0 3; do
		before+=("$(cpu_us "${pids[$i]}")")
	done
	sizes=$(curl -s -X POST --data-binary "$body" "${@:4}" \
	    -o /dev/null -w '%{size_request} %{size_upload} %{size_header} %{size_download}\n' \
	    "$url$path?[1-$repeats]" | tail -n 1)
	for i in 0 3; do
		after+=("$(cpu_us "${pids[$i]}")")
	done
	echo "$sizes" | awk -v name="$name" -v n="$repeats" \
	    -v c=$((after[0] - before[0])) -v e=$((after[1] - before[1])) '{
		printf "| %s | %.0f | %.0f | %d | %d |\n",
		    name, e / n, c / n, $1 + $2, $3 + $4 }'
}

# heartbeat_body N: a heartbeat that lists N running attempts.
heartbeat_body() {
	local list=
	[ "$1" -gt 0 ] && list=$(seq 1 "$1" | sed 's/.*/"100000000.&.1"/' |
	    paste -sd,)
	echo "{\"incarnation\":\"abc\",\"clock_ms\":5,\"used\":{},\"running\":[$list]}"
}

tables() {
	"$bin/bench-capacity"
	curl -s -X POST "$url/v1/endpoints" -d '{"name":"vm-1",
"address":"127.0.0.1:1","rack":"r","data_centre":"dc-1","incarnation":"abc",
"cpu_milli":32000,"memory_bytes":68719476736,"slots":32,"connections":64}' >"$dir/announce.txt"
	id=$(sed -n 's/.*"endpoint":"\([0-9a-f]*\)".*/\1/p' "$dir/announce.txt")
	[ -n "$id" ] || fail "announce: $(cat "$dir/announce.txt")"
	echo
	echo "Real processes on loopback, $repeats calls one after another on" \
	    "one connection:"
	echo
	echo "| call | gyp-entry us | leader's gyp-cell us | HTTP bytes in |" \
	    "HTTP bytes out |"
	echo "|---|---:|---:|---:|---:|"
	measure "heartbeat, nothing running" "/v1/endpoints/$id/heartbeat" \
	    "$(heartbeat_body 0)"
	measure "heartbeat, 23 running (answered with 23 to stop)" "/v1/endpoints/$id/heartbeat" \
	    "$(heartbeat_body 23)"
	curl -s -X POST "$url/v1/endpoints/$id/leave" >/dev/null
	measure "submit again under a known key (no commit)" /v1/jobs \
	    '{"class":"booking","payload":"slot"}' -H 'Idempotency-Key: k-1'
	echo
	echo "| process, after these calls | resident KB | anonymous KB |"
	echo "|---|---:|---:|"
	echo "| gyp-cell, leader | $(resident "${pids[0]}") |"
	echo "| gyp-cell, follower | $(resident "${pids[1]}") |"
	echo "| gyp-entry | $(resident "${pids[3]}") |"
	echo
}

tables >"$dir/tables.md"
awk -v file="$dir/tables.md" '
	/<!-- end of measured tables -->/ { skip = 0 }
	!skip { print }
	/<!-- measured tables -->/ {
		while ((getline line < file) > 0)
			print line
		skip = 1
	}' "$page" >"$dir/page.md"
cp "$dir/page.md" "$page"
cat "$dir/tables.md"
