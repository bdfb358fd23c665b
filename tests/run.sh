#!/bin/sh
# Runs the given GLib test programs with a fixed seed and prints one closing line "N passed, N failed".
# Entries of KNOWN-RED.txt that begin with "test: /PATH" are printed; exactly these tests are skipped
# and not counted.
set -u
red=$(sed -n 's|^test: \(/[^ ;]*\).*|\1|p' "$(dirname "$0")/../KNOWN-RED.txt")
skip=
for path in $red; do
	echo "RED  $path (KNOWN-RED.txt)"
	skip="$skip -s $path"
done
pass=0
fail=0
out=$(mktemp)
trap 'rm -f "$out"' EXIT
for t in "$@"; do
	G_DEBUG=fatal-criticals timeout 300 "$t" $skip --tap --seed=R02S00000000000000000000000000000000 >"$out" 2>&1
	rc=$?
	p=$(grep '^ok ' "$out" | grep -cv '# SKIP')
	f=$(grep -c '^not ok ' "$out")
	if [ "$rc" -ne 0 ] && [ "$f" -eq 0 ]; then
		f=1
	fi
	if [ "$rc" -eq 0 ] && [ "$p" -eq 0 ]; then
		echo "$t ran no test"
		f=1
	fi
	pass=$((pass + p))
	fail=$((fail + f))
	if [ "$f" -ne 0 ]; then
		echo "FAIL $t (exit $rc)"
		grep -v "^# G" "$out" | tail -40
	else
		echo "ok   $t ($p)"
	fi
done
echo "$pass passed, $fail failed"
[ "$fail" -eq 0 ]
