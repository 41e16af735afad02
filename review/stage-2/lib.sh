# Sourced by the scripts of the second review: starts a small deployment from
# the build of the deploy file, with settings as its templates give them: three
# core machines (a replica and a helper each) and two edge machines (an entry
# each). Sets $dir (temporary) and $record (record.txt of the case).
# shellcheck shell=bash

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
here=$(cd "$(dirname "$0")" && pwd)
stage=$root/review/stage-2/bin/stage
record=$here/record.txt
pids=()
declare -A pid_of

cant_run() {
	echo "can't run: $*" | tee -a "$record"
	exit 2
}

port_is_free() {
	! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null
}

find_base() {
	local p ok _
	for _ in $(seq 1 50); do
		base=$((10000 + RANDOM % 200 * 100))
		ok=1
		for p in $(seq "$base" $((base + 99))); do
			port_is_free "$p" || { ok=; break; }
		done
		[ -n "$ok" ] && return
	done
	cant_run "no free ports"
}

finish() {
	local p
	for p in "${pids[@]}"; do
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	[ -n "${KEEP:-}" ] || rm -rf "$dir"
}

# run NAME COMMAND...: starts a process and notes its id.
run() {
	local name=$1
	shift
	(cd "$root" && exec "$@" >>"$dir/$name.log" 2>&1) &
	pid_of[$name]=$!
	pids+=("$!")
}

# signal SIGNAL NAME...
signal() {
	local s=$1 n
	shift
	for n in "$@"; do
		kill -"$s" "${pid_of[$n]}" || true
		echo "$(date +%s%3N) signal $s $n" >>"$record"
	done
}

write_core() {
	local ip=127.0.0.1
	cat >"$dir/cell-$1.ini" <<-INI
		[cell]
		listen = $ip:$((base + $1))
		join = $seeds
		first_start = $2
		data_folder = $dir/data-$1
		data_centre = z-$1
		name = core-$1
		voters = 5
		catch_up = 4s
		election = 200ms
		heartbeat = 40ms

		[platform]
		control = $ip:$((base + 10 + $1))
		run_lease = ${RUN_LEASE:-10000ms}
		stop_grace = 900ms
		learn_run_times = yes
		fence_incarnations = yes
		relay_heartbeats_from = 500
		${PROVIDER:+provider = $PROVIDER}
	INI
	cat >"$dir/helper-$1.ini" <<-INI
		[entry]
		listen = 127.0.1.$((1 + $1)):$((base + 30 + $1))
		cells = $seeds
		data_centre = z-$1
		name = core-$1-helper

		[platform]
		carry = yes
	INI
}

write_entry() {
	cat >"$dir/entry-$1.ini" <<-INI
		[entry]
		listen = 127.0.2.$((1 + $1)):$((base + 40 + $1))
		cells = $seeds
		data_centre = z-$1
		name = edge-$1

		[platform]
		front = 127.0.0.1:$((base + 20 + $1))
		readiness = 127.0.0.1:$((base + 25 + $1))
		linger = 2500ms
	INI
}

start_cell() {
	run "cell-$1" target/bin/gyp-cell --config "$dir/cell-$1.ini"
}

start_entry() {
	run "$1" target/bin/gyp-entry --config "$dir/$1.ini"
}

# leader: prints the number of the replica that leads.
leader() {
	local i answer
	for i in 0 1 2; do
		answer=$(NO_REDIRECT=1 "$stage" call GET "$(control "$i")" op \
		    /api/config)
		[ "${answer:0:3}" = 200 ] && { echo "$i"; return; }
	done
	return 1
}

# start_provider: its list has the workers that are started after it.
start_provider() {
	export UP=$dir/up
	mkdir "$UP"
	run provider "$stage" provider "$PROVIDER" "$UP" "$pool"
}

front() {
	echo "127.0.0.1:$((base + 20 + $1))"
}

control() {
	echo "127.0.0.1:$((base + 10 + $1))"
}

# put_manifest BODY: sends it until one node acknowledges it.
put_manifest() {
	local answer i
	for i in $(seq 0 59); do
		answer=$("$stage" call PUT "$(control $((i % 3)))" op \
		    /api/config "$1")
		[ "${answer:0:3}" = 200 ] && {
			echo "$(date +%s%3N) manifest $answer" >>"$record"
			return
		}
		sleep 0.25
	done
	cant_run "no ack of the manifest: $answer"
}

# submit ID BODY: hands a job in until it is accepted.
submit() {
	local answer i
	for i in $(seq 0 39); do
		answer=$("$stage" call POST "$(front $((i % 2)))" "$host" \
		    "$prefix$1" "$2")
		echo "$(date +%s%3N) submit $1 answer=$answer" >>"$record"
		[ "${answer:0:1}" = 2 ] && return
		sleep 0.25
	done
	cant_run "job $1 was not accepted"
}

# state ID: prints the state of a job.
state() {
	"$stage" call GET "$(front 0)" "$host" "$prefix$1"
}

# await_state ID STATE SECONDS: true if the job is shown so in time.
await_state() {
	local answer i
	for i in $(seq 1 $(($3 * 2))); do
		answer=$(state "$1")
		case $answer in
		*"\"$2\""*)
			echo "$(date +%s%3N) state $1 $answer" >>"$record"
			return 0
			;;
		esac
		sleep 0.5
	done
	echo "$(date +%s%3N) state $1 $answer" >>"$record"
	return 1
}

# start_worker NAME IP:PORT: starts a process with one worker.
start_worker() {
	run "$1" "$stage" workers "$record" "$pool" \
	    "$(control 0),$(control 1),$(control 2)" "$2"
}

# start_system WORKERS: starts everything but the jobs.
start_system() {
	local i list=()
	[ -x "$stage" ] || cant_run "review/build-2.sh was not run"
	[ -x "$root/target/bin/gyp-cell" ] || cant_run "no build"
	dir=$(mktemp -d)
	: >"$record"
	trap finish EXIT
	find_base
	[ -n "${WITH_PROVIDER:-}" ] && {
		PROVIDER=127.0.4.1:$((base + 90))
		start_provider
	}
	seeds=127.0.0.1:$base,127.0.0.1:$((base + 1)),127.0.0.1:$((base + 2))
	for i in 0 1 2; do
		mkdir "$dir/data-$i"
		write_core "$i" yes
		start_cell "$i"
		start_entry "helper-$i"
	done
	for i in 0 1; do
		write_entry "$i"
		start_entry "entry-$i"
	done
	for i in $(seq 1 "$1"); do
		list+=("127.0.3.1:$((base + 50 + i))")
	done
	[ "$1" -eq 0 ] || run workers "$stage" workers "$record" "$pool" \
	    "$(control 0),$(control 1),$(control 2)" "${list[@]}"
}
