#!/usr/bin/env bash
# Ablation: what each mechanism is worth, by plays with and without it.
#
#   bench/ablation.sh check                        each patch of bench/ablation/ applies to this tree
#   bench/ablation.sh PAIRED BENCH SITE OUT_DIR [OPTION]...
#
# PAIRED plays the same days with two checkouts: PAIRED BENCH SITE BASE_DIR CHANGE_DIR [OPTION]...
# Each patch switches one mechanism off; its output goes to OUT_DIR/NAME.txt. NAMES="a b" plays some.
set -eu
cd "$(dirname "$0")/.."
patches=bench/ablation

if [ "${1:-}" = check ]; then
	for p in "$patches"/*.patch; do
		git apply --check "$p"
	done
	exit 0
fi
if [ $# -lt 4 ]; then
	sed -n '2,8s/^# \{0,1\}//p' "$0"
	exit 2
fi
paired=$1 bench=$2 site=$3 out=$4
shift 4
mkdir -p "$out"
out=$(realpath "$out")
trees=$(mktemp -d)
# The journal entries of the plays are kept with the others.
cleanup() {
	for t in on off; do
		cp -Rn "$trees/$t/journal/." journal/
		git worktree remove -f "$trees/$t"
	done
	rm -rf "$trees"
}
trap cleanup EXIT
git worktree add -q --detach "$trees/on" HEAD
git worktree add -q --detach "$trees/off" HEAD
for p in "$patches"/*.patch; do
	name=$(basename "$p" .patch)
	case " ${NAMES:-$name} " in *" $name "*) ;; *) continue ;; esac
	git -C "$trees/off" checkout -q .
	git -C "$trees/off" apply "$PWD/$p"
	"$paired" "$bench" "$site" "$trees/on" "$trees/off" "$@" >"$out/$name.txt" 2>&1 || true
	printf '%-22s %s\n' "$name" "$(grep '^worth:' "$out/$name.txt" || tail -n 1 "$out/$name.txt")"
done
