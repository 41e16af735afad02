#!/usr/bin/env bash
# Runs scripted cases with expected output: cases.sh BIN CASE...
#
#	file NAME	begins a file in the empty directory of the case
#	| TEXT		a line of that file
#	$ COMMAND	runs COMMAND there, with the programs on the path
#	> TEXT		a line of its expected output, standard error included
#	? N		its expected exit code, if not 0
#
# All other lines are comments. The actual transcript must equal the case.
set -u
bin=$(cd "$1" && pwd)
shift
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
export LC_ALL=C.UTF-8 TZ=UTC

run_command() {
	local code=0
	(cd "$work/files" && PATH=$bin:$PATH bash -c "$1" </dev/null) \
	    >"$work/out" 2>&1 || code=$?
	sed 's/^/> /; s/^> $/>/' "$work/out"
	[ "$code" -eq 0 ] || echo "? $code"
}

transcript() {
	local line file=none
	while IFS= read -r line; do
		case $line in
		'>'* | '? '*) continue ;;
		'file '*)
			file=${line#file }
			: >"$work/files/$file"
			;;
		'|'*)
			line=${line#|}
			echo "${line# }" >>"$work/files/$file"
			echo "|$line"
			continue
			;;
		esac
		echo "$line"
		[ "${line#\$ }" = "$line" ] || run_command "${line#\$ }"
	done
}

failed=0
for case in "$@"; do
	rm -rf "$work/files"
	mkdir "$work/files"
	if transcript <"$case" | diff -u "$case" - >"$work/diff"; then
		echo "ok $(basename "$case")"
	else
		echo "not ok $(basename "$case")"
		cat "$work/diff"
		failed=1
	fi
done
exit "$failed"
