# Starts a deployment of the size of anar-rota on loopback addresses: five core
# machines with a replica and a helper each, and seven edge machines with an entry
# each, with the commands of deploy/system.toml and the settings of its templates.
# Sourced by the scripts of the cases.
# shellcheck shell=bash
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
dir=$(mktemp -d)
pids=()
cleanup() {
	kill -CONT "${pids[@]}" 2>/dev/null
	kill -KILL "${pids[@]}" 2>/dev/null
	wait 2>/dev/null
	rm -rf "$dir"
}
trap cleanup EXIT
trap 'exit 2' INT TERM
cd "$root" || exit 2
for program in target/bin/gyp-cell target/bin/gyp-entry "$1"; do
	[ -x "$program" ] || {
		echo "$program is missing: build it first" >&2
		exit 2
	}
done

# Machine N of the core is 127.41.N.1, of the edge 127.42.N.1; workers are at
# 127.43.N.1. The ports are free on all of them.
ports_are_free() {
	local ip
	for ip in 127.41.{0..4}.1 127.42.{0..6}.1 127.43.{0..9}.1; do
		for port in "$1" $(($1 + 1)) $(($1 + 2)) $(($1 + 3)); do
			(exec 3<>"/dev/tcp/$ip/$port") 2>/dev/null && return 1
		done
	done
	return 0
}
for _ in $(seq 50); do
	base=$((20000 + RANDOM % 1000 * 10))
	ports_are_free "$base" && break
	base=
done
[ -n "$base" ] || exit 2
export BASE_PORT=$base

# ANNOUNCE=yes: other processes reach a replica through the stand-in's proxy, at
# the port after the one that it listens on.
announce_port=$base
[ "${ANNOUNCE:-no}" = yes ] && announce_port=$((base + 3))
seeds=127.41.0.1:$announce_port,127.41.1.1:$announce_port,127.41.2.1:$announce_port

write_cell() {
	cat >"$dir/cell-$1.ini" <<-INI
		[cell]
		listen = 127.41.$1.1:$base
		announce = 127.41.$1.1:$announce_port
		join = $seeds
		join_port = $announce_port
		first_start = yes
		data_folder = $dir/data-$1
		data_centre = z$1
		name = core-$1
		voters = 5
		catch_up = 4s
		election = 200ms
		heartbeat = 40ms
		[platform]
		control = 127.41.$1.1:$((base + 2))
		run_lease = 6000ms
		stop_grace = 400ms
		learn_run_times = yes
		fence_incarnations = yes
		relay_heartbeats_from = 500
	INI
}
# write_entry NAME IP PLATFORM-SETTINGS
write_entry() {
	cat >"$dir/$1.ini" <<-INI
		[entry]
		listen = $2:$((base + 1))
		cells = $seeds
		cells_port = $announce_port
		data_centre = z0
		name = $1
		[platform]
		$3
	INI
}
start() { # VARIABLE PROGRAM SETTINGS
	"target/bin/$2" --config "$dir/$3.ini" >>"$dir/$3.log" 2>&1 &
	pids+=($!)
	export "$1=$!"
	disown
}
start_deployment() {
	local n
	for n in 0 1 2 3 4; do
		write_cell "$n"
		start "CORE_$n" gyp-cell "cell-$n"
		write_entry "helper-$n" "127.41.$n.1" "carry = yes"
		start "HELPER_$n" gyp-entry "helper-$n"
	done
	for n in 0 1 2 3 4 5 6; do
		write_entry "edge-$n" "127.42.$n.1" "front = 127.42.$n.1:$((base + 2))"
		printf '%s\n' "readiness = 127.42.$n.1:$((base + 3))" \
			"linger = 2500ms" >>"$dir/edge-$n.ini"
		start "EDGE_$n" gyp-entry "edge-$n"
	done
	CONTROLS=$(printf "127.41.%d.1:$((base + 2))," 0 1 2 3 4)
	FRONTS=$(printf "127.42.%d.1:$((base + 2))," 0 1 2 3 4 5 6)
	export CONTROLS FRONTS
}
# run_case PROGRAM RECORD: runs the driver of the case, which ends itself after
# 110 s at the latest; its exit code is the script's.
run_case() {
	local code driver
	export RECORD=$2
	: >"$RECORD"
	"$1" &
	driver=$!
	pids+=("$driver")
	wait "$driver"
	code=$?
	case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
}
