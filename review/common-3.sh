# Starts the project's programs for a case of the third review, with the
# commands of deploy/system.toml and its templates filled in as for a small
# deployment: three core VMs (a replica and a helper each) and one edge VM, each
# with its own loopback address. To be sourced by run.sh; sets root, here, out,
# dir, base and trouble.
# shellcheck shell=bash disable=SC2034
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
here=$(cd "$(dirname "$0")" && pwd)
out=$root/target/review-3
trouble=${TROUBLE:-1}
dir=$(mktemp -d)
pids=()

stop_all() {
	local pid
	for pid in "${pids[@]}"; do
		kill -CONT "$pid" 2>/dev/null || true
		kill -9 "$pid" 2>/dev/null || true
	done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap stop_all EXIT

for program in "$root/target/bin/gyp-cell" "$root/target/bin/gyp-entry" "$out/ports"; do
	[ -x "$program" ] || {
		echo "missing: build the deploy file and review/build-3.sh first" >&2
		exit 2
	}
done
base=$("$out/ports") || exit 2
cells=127.0.0.10:$base,127.0.0.11:$base,127.0.0.12:$base

# With proxied=yes the program of the case forwards the channels to each replica
# from the address that the others know.
cell_address() {
	if [ "${proxied:-no}" = yes ]; then
		echo "listen = 127.0.0.$((10 + $1)):$((base + 5))"
		echo "announce = 127.0.0.$((10 + $1)):$base"
	else
		echo "listen = 127.0.0.$((10 + $1)):$base"
	fi
}

# start_cell N FIRST_START: deploy/cell.ini with the values of anar-rota.
start_cell() {
	mkdir -p "$dir/data-$1"
	cat >"$dir/cell-$1.ini" <<-INI
		[cell]
		$(cell_address "$1")
		join = $cells
		join_port = $base
		$2
		data_folder = $dir/data-$1
		data_centre = dc-$1
		name = core-$1
		voters = 5
		catch_up = 4s
		election = 200ms
		heartbeat = 40ms

		[platform]
		control = 127.0.0.$((10 + $1)):$((base + 10))
		provider = 127.0.3.1:$((base + 41))
		run_lease = ${run_lease:-6000}ms
		stop_grace = 400ms
		learn_run_times = yes
		fence_incarnations = yes
		relay_heartbeats_from = 500
	INI
	(cd "$root" && exec target/bin/gyp-cell --config "$dir/cell-$1.ini") \
		>>"$dir/cell-$1.log" 2>&1 &
	pids+=($!)
	eval "cell_$1=$!"
}

# start_helper N: deploy/helper.ini, on the VM of replica N.
start_helper() {
	cat >"$dir/helper-$1.ini" <<-INI
		[entry]
		listen = 127.0.0.$((10 + $1)):$((base + 1))
		cells = $cells
		cells_port = $base
		data_centre = dc-$1
		name = core-$1-helper

		[platform]
		carry = yes
	INI
	(cd "$root" && exec target/bin/gyp-entry --config "$dir/helper-$1.ini") \
		>>"$dir/helper-$1.log" 2>&1 &
	pids+=($!)
}

# start_entry: deploy/entry.ini, on the edge VM.
start_entry() {
	cat >"$dir/entry.ini" <<-INI
		[entry]
		listen = 127.0.1.10:$((base + 1))
		cells = $cells
		cells_port = $base
		data_centre = dc-0
		name = edge-0

		[platform]
		front = 127.0.1.10:$((base + 20))
		readiness = 127.0.1.10:$((base + 21))
		linger = 2500ms
	INI
	(cd "$root" && exec target/bin/gyp-entry --config "$dir/entry.ini") \
		>>"$dir/entry.log" 2>&1 &
	pids+=($!)
}

start_system() {
	local n
	for n in 0 1 2; do
		start_cell "$n" "first_start = yes"
		start_helper "$n"
	done
	start_entry
	sleep 1
}

# run_case PROGRAM [ARG]: plays the case, appends what the leader logged of it to
# record.txt, and sets code.
run_case() {
	local program=$1
	shift
	code=0
	timeout -k 1 110 "$out/$program" "$base" "$trouble" "$here/record.txt" "$@" || code=$?
	[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || code=2
	{
		echo "trouble: $trouble; exit code: $code"
		echo "from the replicas' logs:"
		grep -h -E "${log_events:-run-ended|endpoint-leaves|endpoint-gone}" "$dir"/cell-*.log |
			cut -c1-400 | tail -n 12
	} >>"$here/record.txt" || true
}
