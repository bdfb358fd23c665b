#!/bin/sh
# Runs the given GLib test programs with a fixed seed and prints one closing line "N passed, N failed".
# Programs of libraries run TEST_JOBS at a time and those that start processes PROCESS_JOBS at a time.
# Those named *_untrusted exhaust memory and descriptors: each runs alone.
# Entries of KNOWN-RED.txt that begin with "test: /PATH" are printed; exactly these tests are skipped
# and not counted.
set -u
TEST_JOBS=${TEST_JOBS:-4}
PROCESS_JOBS=${PROCESS_JOBS:-3}
red=$(sed -n 's|^test: \(/[^ ;]*\).*|\1|p' "$(dirname "$0")/../KNOWN-RED.txt")
SKIP=
for path in $red; do
	echo "RED  $path (KNOWN-RED.txt)"
	SKIP="$SKIP -s $path"
done
OUT=$(mktemp -d)
trap 'rm -rf "$OUT"' EXIT
export SKIP OUT

# Runs the programs that standard input names, $1 at a time.
run() {
	xargs -r -P "$1" -n 1 sh -c '
		log=$OUT/$(echo "$1" | tr / _)
		G_DEBUG=fatal-criticals timeout 300 "$1" $SKIP --tap \
			--seed=R02S00000000000000000000000000000000 >"$log" 2>&1
		echo $? >"$log.rc"' run
}

list() {
	printf '%s\n' "$@"
}

list "$@" | grep -v '_untrusted$' | grep '/lib/' | run "$TEST_JOBS"
list "$@" | grep -v '_untrusted$' | grep -v '/lib/' | run "$PROCESS_JOBS"
list "$@" | grep '_untrusted$' | run 1

pass=0
fail=0
for t in "$@"; do
	out=$OUT/$(echo "$t" | tr / _)
	rc=$(cat "$out.rc" || echo 1)
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
