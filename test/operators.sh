#!/usr/bin/env bash
# Tests gypctl with the real programs: reports, explanations, drains, members.
set -eu
bin=$1
# shellcheck source=test/cluster.sh
. "$(dirname "$0")/cluster.sh"

start_cell 1 --init
start_entry 1
start endpoint1 "$bin/gyp-endpoint" --name vm-1 --cpu 4000 --memory 4096 \
    --listen "127.0.0.1:$((base + 21))" --entries "$(entry_address 1)" \
    --rack rack-1 --data-centre dc-1

# shows PATTERN COMMAND...: succeeds if COMMAND does and its output matches.
shows() {
	local pattern=$1
	shift
	"$@" >"$dir/shown" 2>&1 && grep -Eq -- "$pattern" "$dir/shown"
}

# refused CODE PATTERN COMMAND...: COMMAND must exit with CODE and output that
# matches.
refused() {
	local code=0 want=$1 pattern=$2
	shift 2
	"$@" >"$dir/shown" 2>&1 || code=$?
	[ "$code" -eq "$want" ] && grep -Eq -- "$pattern" "$dir/shown" ||
	    fail "expected $want and $pattern of $*, not $code: $(cat "$dir/shown")"
}

# check PATTERN COMMAND...: COMMAND must succeed with output that matches.
check() {
	shows "$@" || fail "expected $1 of ${*:2}: $(cat "$dir/shown")"
}

# submit KEY CPU_MILLI: prints the job's id.
submit() {
	curl -s -X POST "http://$(entry_address 1)/v1/jobs" \
	    -H "Idempotency-Key: $1" \
	    -d "{\"kind\":\"batch\",\"team\":\"press\",\"class\":\"juicing\",
\"cpu_milli\":$2,\"payload\":\"run_ms=600000\"}" |
	    sed 's/.*"job":"\([0-9a-f]*\)".*/\1/'
}

until_true shows '^vm-1 +active' ctl 1 endpoints

echo "== rules are applied and in force"
cat >"$dir/rules" <<'RULES'
# what the presses agreed on
weight juicing waiting=1 packing=2  # Ravi: full VMs
quota press cpu=4                   # Asha: leave some for bookings
RULES
until_true ctl 1 rules apply "$dir/rules" --base 0 --request first --wait 30
check '^version 1, in force everywhere' ctl 1 rules status
check '^entry +entry-1 +yes +1$' ctl 1 rules status
check '^1 +[^ ]+ +[0-9]+ +first' ctl 1 rules history
check 'equal to version 1; apply with --base 1' ctl 1 rules diff "$dir/rules"
ctl 1 rules show 2>/dev/null | cmp - "$dir/rules" ||
    fail "rules show differs from the file"
refused 1 'no such' ctl 1 rules show --rules-version 9

# answers STATUS PATTERN CURL-ARGUMENTS...: a POST must be answered with STATUS
# and a body that matches.
answers() {
	local want=$1 pattern=$2 got
	shift 2
	got=$(curl -s -o "$dir/answer" -w '%{http_code}' -X POST "$@")
	[ "$got" = "$want" ] && grep -q -- "$pattern" "$dir/answer" ||
	    fail "expected $want and $pattern, not $got: $(cat "$dir/answer")"
}

echo "== invalid rules are refused before they reach the log"
url=http://$(entry_address 1)/v1/admin/rules
head -c 65537 /dev/zero | tr '\0' '\n' >"$dir/long"
printf 'share a 1 # Ravi: x\0y\n' >"$dir/nul"
printf '\377\001\200 noise\177\n' >"$dir/noise"
id='Gyp-Request: odd'
answers 400 'base: expected' -H "$id" "$url" -d ''
answers 400 'base: expected' -H "$id" "$url?base=-1" -d ''
answers 400 'wait_ms: expected' -H "$id" "$url?base=1&wait_ms=x" -d ''
answers 400 'expected a request id' "$url?base=1" -d ''
answers 413 'at most 65536' -H "$id" "$url?base=1" --data-binary "@$dir/long"
answers 400 'without NUL' -H "$id" "$url?base=1" --data-binary "@$dir/nul"
answers 400 'rules:1:' -H "$id" "$url?base=1" --data-binary "@$dir/noise"
answers 400 'rules:1:1: ' -H "$id" "$url?base=1" -d 'shre a 1 # Ravi: x'
check '^version 1, in force everywhere' ctl 1 rules status

echo "== a placed job, and a job that waits for its team's quota"
placed=$(submit placed 3000)
until_true shows '^0 +placed.*vm-1' ctl 1 explain "$placed"
check '^rule line 2: weight juicing waiting=1 packing=2' ctl 1 explain "$placed"
waiting=$(submit waiting 3000)
check '^because: .*quota' ctl 1 explain "$waiting"
check '^rule line 3: quota press cpu=4 ' ctl 1 explain "$waiting"
check '^because: 1 of 1 tasks wait: team press is at its quota' \
    ctl 1 explain "$waiting"
check '"text":"quota press cpu=4 ' ctl 1 explain "$waiting" --format=json
check '^outcome +none' ctl 1 job "$waiting"
check '^jobs_waiting +1$' ctl 1 status
refused 1 'no such job' ctl 1 explain ffff
refused 1 'no such job' ctl 1 job not-hexadecimal

echo "== a rule on retries applies to jobs submitted after it"
fails() {
	curl -s -X POST "http://$(entry_address 1)/v1/jobs?wait_ms=60000" \
	    -d '{"idempotent":true,"team":"rota","payload":"fail run_ms=0"}'
}
fails >"$dir/fails"
grep -q '"attempts":3,' "$dir/fails" ||
    fail "expected 3 attempts: $(cat "$dir/fails")"
{
	cat "$dir/rules"
	echo 'retry * attempts=1 budget=10% # Ravi: a failure is a failure'
} >"$dir/once"
ctl 1 rules apply "$dir/once" --base 1 --request once --wait 30 >/dev/null
fails >"$dir/fails"
grep -q '"attempts":1,' "$dir/fails" ||
    fail "expected 1 attempt: $(cat "$dir/fails")"

echo "== a drain and its undo"
check '^vm-1 +drained +1 ' ctl 1 drain vm-1
check '^outcome +not_run' ctl 1 cancel "$waiting"
later=$(submit later 100)
check '1 are leaving, drained' ctl 1 explain "$later"
check '^vm-1 +active' ctl 1 drain vm-1 --undo
until_true shows '^0 +placed.*vm-1' ctl 1 explain "$later"
refused 1 'no such' ctl 1 drain vm-2

echo "== error budgets from the metrics of running programs"
objective=class=juicing,target=99
# The report counts starts between two samples: submits a job in between.
waits_counted() {
	"$bin/gyp-burn" record --samples "$dir/waits" \
	    --entry "127.0.0.1:$((base + 31))" &&
	    submit "wait-$RANDOM" 10 >/dev/null &&
	    "$bin/gyp-burn" report --samples "$dir/waits" \
		--objective "$objective,within=3s"
}
check '^juicing +errors +99%' "$bin/gyp-burn" report --pause 0 \
    --entry "$(entry_address 1)" --objective "$objective"
for _ in 1 2; do
	"$bin/gyp-burn" record --samples "$dir/samples" \
	    --entry "$(entry_address 1)" || fail "gyp-burn record failed"
done
check '"class":"juicing"' "$bin/gyp-burn" report --samples "$dir/samples" \
    --objective "$objective" --format=json
until_true shows '^juicing +waiting .* [1-9][0-9]* +[0-9]+ ' waits_counted

echo "== members, and entries and cells that do not answer"
check '127.0.0.1:[0-9]+ .* yes +yes +yes +0$' ctl 1 members
refused 1 'no such member' ctl 1 members remove ffff
refused 1 'it is the leader' ctl 1 members remove "127.0.0.1:$((base + 1))"
check '^term ' "$bin/gypctl" --entry 127.0.0.1:1 \
    --entry "$(entry_address 1)" status
kill_one cell1 KILL
refused 69 'no answer' ctl 1 status
kill_one entry1 KILL
refused 69 'no entry answered' ctl 1 status
echo "operators: passed"
