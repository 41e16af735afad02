#!/bin/bash
# A job with eight lasting tasks starts, and 0.2 s later the leader is killed and
# started again. 4 s after that one of the 16 workers drains, says so, and leaves
# as planned, 7 s after the ack. Exit 1: its task has nothing running for 9 s
# (from 6 s after its last run, for 3 s), beside 15 workers that are idle.
set -u
# shellcheck source=../stage-2/lib.sh
. "$(dirname "$0")/../stage-2/lib.sh"

LATEST_MS=9000 # 6 s after the last run, and 3 s
pool=dele69a
host=nony24.example
prefix=/pule252/
id=5c0e7a21d94b36f8
WITH_PROVIDER=yes

start_system 0
for i in $(seq 1 16); do
	start_worker "worker-$i" "127.0.3.1:$((base + 50 + i))"
done
put_manifest '{"version":7,"routes":[{"name":"r-3","host":"nony24.example","path_prefix":"/pule252/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":2500,"priority":1,"backend":"dele69a","max_attempts":2,"stretch":2.2}],"backends":[{"name":"dele69a","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_check":false,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
sleep 20 # the workers have been known for long
leader=$(leader) || cant_run "no leader"
submit "$id" '{"task_spec":"0 0","steps":[{"count":8,"cpu":2000,"mem_mb":512,"anti_affinity":2,"long_running":true}]}' &
submitted=$!
for i in $(seq 1 500); do
	[ "$(grep -c ' start ' "$record")" -ge 8 ] && break
	sleep 0.01
done
[ "$i" -lt 500 ] || cant_run "the job did not start"
sleep 0.2
if [ "${TROUBLE:-1}" != 0 ]; then
	signal KILL "cell-$leader"
	sleep 0.3
	sed -i 's/^first_start = yes/first_start = no/' "$dir/cell-$leader.ini"
	start_cell "$leader"
fi
wait "$submitted"
sleep 4
leaving=$(awk '$2 == "start" { sub("worker=", "", $3); print $3; exit }' "$record")
n=$(awk -v w="worker=$leaving" '$2 == "worker" && $3 == w { sub(".*:", "", $4); print $4 }' "$record")
signal USR1 "worker-$((n - base - 50))"
sleep 24

awk -v latest=$LATEST_MS -v now="$(date +%s%3N)" '
$2 == "gone" { gone[$4] = $1 }
$2 == "start" && $4 in gone && !($4 in back) { back[$4] = $1 }
$2 == "start" { starts++ }
END {
	for (t in gone) {
		n++
		down = (t in back ? back[t] : now) - gone[t]
		if (down > longest) longest = down
	}
	printf "starts %d, tasks whose worker left %d, longest without a run " \
	    "%d ms\n", starts, n, longest
	exit n == 0 ? 2 : longest > latest
}' "$record" >"$dir/verdict"
broken=$?
cat "$dir/verdict" | tee -a "$record"
exit $broken
