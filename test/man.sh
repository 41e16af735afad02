#!/usr/bin/env bash
# Checks the manual pages: man.sh BIN MAN. The pages must document each command
# of gypctl and each option of the tools.
set -eu
bin=$1
man=$2
mandoc -Tlint -W warning "$man"/*
missing=0
expect() {
	mandoc -Tascii "$man/$1" | sed 's,.\x08,,g' | grep -q -- "$2" ||
	    { echo "$1 does not document $2"; missing=1; }
}
while read -r command; do
	expect gypctl.1 "^     $command"
done < <("$bin/gypctl" --help | sed -n 's/^  \([a-z][a-z ]*[a-z]\)\( [A-Z]\|  \).*/\1/p')
for tool in gypctl gyp-burn; do
	while read -r option; do
		expect "$tool.1" "-$option"
	done < <({ "$bin/$tool" --help; "$bin/$tool" rules apply --help
	    "$bin/$tool" drain x --help; } 2>/dev/null |
	    sed -n 's/^ .* --\([a-z-]*\).*/\1/p' | grep -v -e help -e version |
	    sort -u)
done
exit "$missing"
