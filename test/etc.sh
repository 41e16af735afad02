#!/usr/bin/env bash
# Checks all example settings and rules: etc.sh BIN ETC. The data directories
# are replaced by temporary ones, as those in the examples exist only on VMs.
set -eu
bin=$1
etc=$2
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
checked=0
for file in "$etc"/*/*.ini; do
	name=$(basename "$file")
	sed "s,^data_folder = ,&$dir," "$file" >"$dir/$name"
	"$bin/gyp-${name%-*.ini}" --config "$dir/$name" --check-config \
	    >"$dir/out" || { echo "refused: $file"; exit 1; }
	checked=$((checked + 1))
done
for file in "$etc"/*/rules; do
	"$bin/gypctl" rules check "$file"
	checked=$((checked + 1))
done
[ "$checked" -eq 22 ] || { echo "expected 22 files, not $checked"; exit 1; }
