#!/usr/bin/env bash
# Plays the regression set on the users' test deployments: standard days and hunts for broken rules.
#
#   bench/regress.sh BENCH SYSTEM_DIR OUT_DIR [JOBS]
#
# BENCH is the users' bench, SYSTEM_DIR the folder of the deployment files; both are outside the repository. Run it in a
# clean clone: the bench builds the work tree as it is. Prints a line per play; exits with 1 if a gate failed or a rule was broken.
set -eu
if [ $# -lt 3 ]; then
	sed -n '2,7s/^# \{0,1\}//p' "$0" >&2
	exit 2
fi
bench=$1
system=$2
out=$3
jobs=${4:-3}
mkdir -p "$out"
failed=0

# play NAME PATTERN ARGS...: fails unless the output has a line with PATTERN.
play() {
	local name=$1 pattern=$2
	shift 2
	"$bench" "$@" --jobs "$jobs" --why "regression run: $name" >"$out/$name.out" 2>&1 || true
	if grep -q "$pattern" "$out/$name.out"; then
		echo "ok   $name"
	else
		echo "FAIL $name"
		failed=1
	fi
}

# Hunts play 8 days on deployments of 60 or more machines, and 40 days on smaller ones.
for site in further/oluk-rounds:40 further-grown/oluk-rounds-grown:8 large/brazos-punt-large:8; do
	file=$system/${site%:*}.toml
	name=$(basename "$file" .toml)
	play "score-$name" '^GATE passed' score "$file"
	play "hunt-$name" ', 0 with a rule broken' hunt "$file" --days "${site#*:}"
done
# These deployments have passed before and must still pass.
for site in sites/brazos-punt sites/kaardikoda-tartu grown/brazos-punt-grown grown/kaardikoda-tartu-grown; do
	play "score-$(basename "$site")" '^GATE passed' score "$system/$site.toml"
done
exit $failed
