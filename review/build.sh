#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for driver in standin/case*.c; do
	name=$(basename "$driver" .c)
	cc -std=gnu11 -O1 -g -Wall -Wextra -o "bin/$name" "$driver" \
		standin/standin.c -pthread
done
