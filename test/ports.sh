# Sets $base so that the loopback ports from $base to $base + 39 are free. They
# are below 32768, where the ephemeral ports of outgoing connections start.
# shellcheck shell=bash
pick_base() {
	local try port
	for try in $(seq 1 50); do
		base=$((20000 + RANDOM % 300 * 40))
		for port in $(seq "$base" $((base + 39))); do
			if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
				continue 2
			fi
		done
		return 0
	done
	echo "no free ports after $try attempts" >&2
	return 1
}
pick_base
