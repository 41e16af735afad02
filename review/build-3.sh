#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 into target/review-3/.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
dir=review/standin-3
flags="-std=gnu11 -O1 -g -Wall -Wextra $(pkg-config --cflags jansson)"
libs="$(pkg-config --libs jansson) -lpthread"
for case in leave sharing listing silent quota; do
	# shellcheck disable=SC2086
	cc $flags -o "$out/$case" "$dir/$case.c" "$dir/sim.c" "$dir/proxy.c" $libs
done
cc -std=gnu11 -O1 -Wall -Wextra -o "$out/ports" "$dir/ports.c"
echo "built in $out"
