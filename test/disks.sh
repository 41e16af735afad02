#!/usr/bin/env bash
# Tests data directories that are lost, used twice, truncated or damaged, and
# the removal of a member by an operator.
set -eu
bin=$1
# shellcheck source=test/cluster.sh
. "$(dirname "$0")/cluster.sh"

# voters N: succeeds if the cell has N voters that all answer.
voters() {
	[ "$(ctl 1 members | awk '$3 == "yes" && $5 == "yes"' | wc -l)" -eq "$1" ]
}

id_of() {
	ctl 1 members | awk -v a="127.0.0.1:$((base + $1))" '$2 == a {print $1}'
}

# ends_with NAME CODE TEXT: the process exits with CODE and logs TEXT.
ends_with() {
	local code=0
	wait "${pids[$1]}" || code=$?
	unset "pids[$1]"
	[ "$code" -eq "$2" ] || fail "$1 exited with $code, not $2"
	tail -n 3 "$dir/$1.log" | grep -q "$3" || fail "$1 did not log $3"
}

# flip FILE OFFSET: inverts all bits of one byte.
flip() {
	local byte
	[ "$(stat -c %s "$1")" -gt "$2" ] || fail "$1 ends before byte $2"
	byte=$(od -An -tu1 -j "$2" -N 1 "$1" | tr -d ' ')
	printf "\\x$(printf '%02x' $((byte ^ 255)))" |
	    dd of="$1" bs=1 seek="$2" conv=notrunc status=none
}

newest_log() {
	ls -v "$dir/cell$1"/log.* | tail -n 1
}

# Offset of the byte to damage, in the first record of a segment.
damaged=60

# Succeeds if the newest segment of cell 3 was written by its current process
# and the byte to damage is below the synced length in the header. Counting
# voters is not enough: the leader may still count a replica that has just
# exited.
damageable() {
	local length
	grep -q "gyp-cell\[${pids[cell3]}\]: started " "$dir/cell3.log" ||
		return 1
	length=$(od -An -tu8 --endian=big -j 32 -N 8 "$(newest_log 3)")
	[ "${length:-0}" -gt "$damaged" ]
}

echo "== --init creates a cell in an empty data directory only"
start_cell 1
until_true test -s "$dir/cell1/log.1"
kill_one cell1 KILL
start_cell 1 --init
start_entry 1
until_true ctl 1 status
kill_one cell1 KILL
start second "$bin/gyp-cell" --config "$dir/cell1.ini" --init
ends_with second 75 'already holds a cell'

start_cell 1
start_cell 2
start_cell 3
until_true voters 3

echo "== both replicas report different lease settings"
kill_one cell3 TERM
cell_settings='endpoint_lease = 6s' start_cell 3
mismatch_of() {
	grep -q "lease-mismatch name=$2 " "$dir/$1.log"
}
until_true mismatch_of cell1 cell-3
until_true mismatch_of cell3 cell-1
kill_one cell3 TERM
start_cell 3
until_true voters 3

echo "== a second process cannot use the same data directory"
start second "$bin/gyp-cell" --config "$dir/cell3.ini"
ends_with second 75 'another process uses this folder'

echo "== a replica with a lost disk rejoins as a new member; then a second loss"
old=$(id_of 2)
kill_one cell2 KILL
rm -r "$dir/cell2"
start_cell 2
new_member() {
	[ -n "$(id_of 2)" ] && [ "$(id_of 2)" != "$old" ] && voters 3
}
until_true new_member
ctl 1 members | grep -q "$old" && fail "$old is still a member"
kill_one cell3 KILL
rm -r "$dir/cell3"
echo 'share press 1 # Asha: test' >"$dir/rules"
apply() {
	ctl 1 rules apply "$dir/rules" --base 0 --request r1 --author t --wait 0
}
until_true apply

echo "== an operator removes the lost member; the leader steps down meanwhile"
# Without an answer of the other voter the leader steps down before the commit,
# and the entry sends the call again to the next one.
removed=$(id_of 3)
follower=$(ctl 1 members | awk '$3 == "yes" && $4 == "no" && $5 == "yes" {print $2}')
follower=cell$((${follower##*:} - base))
kill -STOP "${pids[$follower]}"
(sleep 4 && kill -CONT "${pids[$follower]}") &
resumed=$!
until_true ctl 1 members remove "$removed"
wait "$resumed"
until_true voters 2
ctl 1 members | grep -q "$removed" && fail "$removed is still a member"
echo "== a repeated removal gets the same answer, an unknown member does not"
ctl 1 members remove "$removed" || fail "the repeated removal was refused"
ctl 1 members remove 00000000000000ff && fail "an unknown member was removed"
start_cell 3
until_true voters 3

echo "== an incomplete record at the end of the log is truncated"
kill_one cell3 KILL
head -c 20 /dev/urandom >>"$(newest_log 3)"
start_cell 3
until_true damageable
until_true voters 3

echo "== a corrupt byte is refused with the file and the offset"
kill_one cell3 KILL
log=$(newest_log 3)
flip "$log" "$damaged"
start_cell 3
ends_with cell3 65 "$(basename "$log"): bad record at byte"
flip "$log" "$damaged"

echo "== an identity without a log, a log without an identity"
mv "$dir/cell3/identity" "$dir/kept"
start_cell 3
ends_with cell3 65 'holds a log but no identity'
mv "$dir/kept" "$dir/cell3/identity"
mkdir "$dir/logs"
mv "$dir/cell3"/log.* "$dir/logs"
start_cell 3
ends_with cell3 65 'is missing'
mv "$dir/logs"/* "$dir/cell3"
start_cell 3
until_true voters 3

leader() {
	ctl 1 members | awk '$4 == "yes" {print $2}' | sed 's/.*://'
}
gauge() {
	curl -s "http://$(metrics_address "$1")/metrics" |
	    awk '$1 == "gyp_disk_full" {print $2}'
}
is_full() {
	[ "$(gauge "$1")" = 1 ]
}
has_space() {
	[ "$(gauge "$1")" = 0 ]
}
other_leads() {
	local port
	port=$(leader) && [ -n "$port" ] && [ "$port" -ne $((base + $1)) ]
}
# Applies rules of 8 KB, so that the logs grow to the size of a snapshot.
version=0
grow_log() {
	local base_version
	base_version=$(ctl 1 rules history | awk '$1 ~ /^[0-9]+$/ {print $1}' |
	    sort -n | tail -n 1)
	version=$((version + 1))
	{
		echo 'share press 1 # Asha: test'
		for _ in $(seq 1 100); do
			printf '# %s %078d\n' "$version" 0
		done
	} >"$dir/rules"
	ctl 1 rules apply "$dir/rules" --base "${base_version:-0}" \
	    --request "full-$version" --author t --wait 0
}

echo "== a leader whose disk is full steps down, waits and recovers"
full=$(($(leader) - base))
next=$(($(newest_log "$full" | sed 's/.*\.//') + 1))
ln -s /dev/full "$dir/cell$full/log.$next.tmp"
for _ in $(seq 1 100); do
	is_full "$full" && break
	grow_log >"$dir/last" 2>&1 || true
done
is_full "$full" || fail "cell$full is not full"
until_true other_leads "$full"
# The version need not be in force yet at the entry.
rules_accepted() {
	grow_log 2>&1 | grep -q 'version [0-9]* accepted,'
}
until_true rules_accepted
kill -0 "${pids[cell$full]}" || fail "cell$full exited"
sleep 2
is_full "$full" || fail "cell$full does not wait for space"
rm "$dir/cell$full/log.$next.tmp"
until_true has_space "$full"
until_true voters 3
[ "$(grep -c ' disk-full ' "$dir/cell$full.log")" -eq 1 ] ||
	fail "cell$full did not log one line when its disk was full"
[ "$(grep -c ' disk-recovered ' "$dir/cell$full.log")" -eq 1 ] ||
	fail "cell$full did not log one line when there was space"
kill_one "cell$full" KILL
start_cell "$full"
until_true voters 3

echo "== a replica that starts on a full disk waits"
kill_one cell3 KILL
rm -r "$dir/cell3"
mkdir "$dir/cell3"
ln -s /dev/full "$dir/cell3/log.1.tmp"
seen=$(grep -c ' disk-full ' "$dir/cell3.log" || true)
start_cell 3
sleep 3
kill -0 "${pids[cell3]}" || fail "cell3 exited"
[ "$(grep -c ' disk-full ' "$dir/cell3.log")" -eq $((seen + 1)) ] ||
	fail "cell3 did not log one line when its disk was full"
rm "$dir/cell3/log.1.tmp"
until_true voters 3

echo "== a stopped leader transfers its leadership"
for n in 1 2 3; do
	kill -TERM "${pids[cell$n]}"
	ends_with "cell$n" 0 ''
	grep -q no-successor "$dir/cell$n.log" && fail "cell$n had no successor"
	start_cell "$n"
	until_true voters 3
done
echo "disks: done"
