#!/bin/bash
# Two workers run 2,400 short tasks while all replicas are killed and started
# again: more than 500 runs end on each worker until a leader polls it.
# Exit 1: a task that has ended "done" was started again.
set -u
# shellcheck source=../stage-2/lib.sh
. "$(dirname "$0")/../stage-2/lib.sh"

DOWN_S=4.5 # as herd_kill on core, how = "off race hard", for_s = 4.5
pool=huvo11a
host=nony24.example
prefix=/lohu930/
id=5c0e7a21d94b36f8

start_system 2
put_manifest '{"version":7,"routes":[{"name":"r-1","host":"nony24.example","path_prefix":"/lohu930/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":250,"priority":0,"backend":"huvo11a","max_attempts":3,"stretch":1.5}],"backends":[{"name":"huvo11a","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_check":false,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
sleep 4
# Each task needs 0.02 cores and works for 12 to 20 s.
submit "$id" '{"task_spec":"12000 20000","steps":[{"count":2400,"cpu":20,"mem_mb":16,"estimate_ms":16000}]}'
sleep 14
if [ "${TROUBLE:-1}" != 0 ]; then
	signal KILL cell-0 cell-1 cell-2
	sleep "$DOWN_S"
	for i in 0 1 2; do
		sed -i 's/^first_start = yes/first_start = no/' \
		    "$dir/cell-$i.ini"
		start_cell "$i"
	done
fi
await_state "$id" completed 70 || echo "not completed" >>"$record"
sleep 1

# An end counts if its number was acknowledged; no lease may have lapsed.
awk '
$2 == "acked" { split($3, w, "="); split($4, n, "="); acked[w[2]] = n[2] + 0 }
$2 == "lease-over" { lapsed++ }
$2 == "list-cut" { cut++ }
$2 == "start" { starts++; t = $4; if (t in done) { again[t] = $0 } }
$2 == "end" && $6 == "how=done" {
	split($3, w, "="); split($7, n, "=")
	if (!($4 in done)) { done[$4] = n[2] + 0; by[$4] = w[2] }
}
END {
	for (t in again) {
		if (done[t] <= acked[by[t]]) bad++
	}
	printf "starts %d, tasks done %d, leases over %d, lists cut %d, " \
	    "started again after an acknowledged end as done %d\n", starts,
	    length(done), lapsed, cut, bad
	exit bad > 0 && lapsed == 0 ? 1 : 0
}' "$record" >"$dir/verdict"
broken=$?
cat "$dir/verdict" | tee -a "$record"
exit $broken
