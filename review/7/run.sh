#!/bin/bash
# Eight workers run tasks that make checkpoints of 96 characters; one worker is
# killed, so that its tasks are started again from what was saved. Exit 1: a start carries a checkpoint that no run of the task made.
set -u
# shellcheck source=../stage-2/lib.sh
. "$(dirname "$0")/../stage-2/lib.sh"

pool=huvo11a
host=nony24.example
prefix=/lohu930/
id=5c0e7a21d94b36f8

start_system 7
manifest='{"version":7,"routes":[{"name":"r-1","host":"nony24.example","path_prefix":"/lohu930/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":250,"priority":0,"backend":"huvo11a","max_attempts":3,"stretch":1.5}],"backends":[{"name":"huvo11a","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"admission_check":false,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
put_manifest "$manifest"
start_worker extra 127.0.3.1:$((base + 60))
sleep 4
# 32 tasks of 7 cores, so that each of the eight workers gets four; each works
# for 9 s and saves its progress every 0.5 s in 96 characters.
submit "$id" '{"task_spec":"9000 9000 500 96","steps":[{"count":32,"cpu":7000,"mem_mb":512,"estimate_ms":9000,"checkpointing":true}]}'
sleep 5
[ "${TROUBLE:-1}" != 0 ] && signal KILL extra
await_state "$id" completed 60 || echo "not completed" >>"$record"

awk '
$2 == "checkpoint" { sub("value=", "", $6); made[$4 " " $6] = 1; n++ }
$2 == "start" {
	sub("checkpoint=", "", $6); starts++
	if ($6 == "") next
	resumed++
	if (!(($4 " " $6) in made)) bad++
}
END {
	printf "starts %d, of them from a checkpoint %d, from one that no " \
	    "run of the task made %d; checkpoints made %d\n", starts, resumed,
	    bad, n
	exit bad > 0
}' "$record" >"$dir/verdict"
broken=$?
cat "$dir/verdict" | tee -a "$record"
exit $broken
