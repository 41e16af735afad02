# Settings of replicas and entries for tests with the stand-in of the platform;
# sourced after $dir is set. Replica N listens for replicas and entries on port
# base + N and for endpoints on port base + 10 + N.
# shellcheck shell=bash disable=SC2154
# shellcheck source=test/ports.sh
. "$(dirname "${BASH_SOURCE[0]}")/ports.sh"
# set_addresses OFFSET: sets $cells, $control and $fronts; replicas and entries
# reach replica N at port base + OFFSET + N.
set_addresses() {
	cells="127.0.0.1:$((base + $1)),127.0.0.1:$((base + $1 + 1)),127.0.0.1:$((base + $1 + 2))"
	control="127.0.0.1:$((base + 10)),127.0.0.1:$((base + 11)),127.0.0.1:$((base + 12))"
	fronts="127.0.0.1:$((base + 20)),127.0.0.1:$((base + 21))"
}
# write_cell N FIRST_START [SETTING]: writes the settings of replica N.
write_cell() {
	cat >"$dir/cell-$1.ini" <<-INI
		[cell]
		listen = 127.0.0.1:$((base + $1))
		${3:-}
		join = $cells
		first_start = $2
		data_folder = $dir/data-$1
		data_centre = dc-$1
		name = cell-$1
		voters = 3
		election = 300ms
		heartbeat = 60ms
		[platform]
		control = 127.0.0.1:$((base + 10 + $1))
		run_lease = 6000ms
		stop_grace = 400ms
	INI
}
# write_entry N CARRY: writes the settings of entry N, which has its own
# loopback address, as if on another VM.
write_entry() {
	cat >"$dir/entry-$1.ini" <<-INI
		[entry]
		listen = 127.0.0.$((2 + $1)):$((base + 30 + $1))
		cells = $cells
		data_centre = dc-$1
		name = entry-$1
		[platform]
		front = 127.0.0.1:$((base + 20 + $1))
		readiness = 127.0.0.1:$((base + 25 + $1))
		admission = 127.0.1.1:$((base + 35))
		linger = 300ms
		carry = $2
	INI
}
