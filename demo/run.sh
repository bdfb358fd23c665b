#!/bin/sh
# Runs the whole system on loopback: a platform, engines and plain services as stand-ins, and three
# instances in three failure domains. Sends the calls of both deployments, takes an upstream out and
# an instance down on the way, and exits 0 only if nothing was lost, doubled or mixed up.
set -u
B=${BUILD:-build}/bin
SEED=${SEED:-1}
SECONDS_PER_MIX=${SECONDS_PER_MIX:-20}
# Calls a second, and more options of loadgen, for example LOADGEN_ARGS="--scale rewrite=10".
RATE=${RATE:-25}
LOADGEN_ARGS=${LOADGEN_ARGS:-}
ENGINE_ARGS=${ENGINE_ARGS:---slots 16 --decode 100}
dir=$(mktemp -d)
pids=""
cleanup() {
	for p in $pids; do
		kill -9 "$p" 2>/dev/null
	done
	rm -rf "$dir"
}
trap cleanup EXIT

start() {
	"$@" >>"$dir/log" 2>&1 &
	last=$!
	pids="$pids $last"
}

# Writes an example configuration with its upstreams moved to loopback ports from $2 on and starts
# a stand-in for each of them. The services' addresses are collected in $services.
move_upstreams() {
	awk -v port="$2" -v list="$dir/upstreams" '
		/^\[upstream / { id = $2; sub(/\]/, "", id) }
		/^\[service /  { svc = $2; sub(/\]/, "", svc) }
		/^plain=yes/   { plain[svc] = 1 }
		/^service=/    { service = substr($0, 9) }
		/^host=/       { print "host=127.0.0.1"; next }
		/^port=/       { print "port=" port
				 print (plain[service] ? "service" : "engine"), port, id > list
				 port++; next }
		{ print }' "examples/$1/config.ini" >"$dir/$1.ini"
	while read -r kind port id; do
		if [ "$kind" = service ]; then
			start "$B/standin-service" --listen "127.0.0.1:$port"
			services="$services --service 127.0.0.1:$port"
		else
			# shellcheck disable=SC2086
			start "$B/standin-engine" --listen "127.0.0.1:$port" $ENGINE_ARGS \
				--cache-tokens 60000 --seed "$port"
		fi
	done <"$dir/upstreams"
}

start_instance() {
	i=$1
	cat >"$dir/$i.ini" <<EOT
[instance]
id = $i-1
failure_domain = domain-$i
shutdown_delay_ms = 300
[callers]
listen = 127.0.0.1:2000$i
[operators]
listen = 127.0.0.1:2001$i
token = demo
[platform]
url = http://127.0.0.1:20000
[peers]
key = demo-fleet
listen = 127.0.0.1:2002$i
seeds = 127.0.0.1:20021,127.0.0.1:20022,127.0.0.1:20023
EOT
	start "$B/turmerichinged" "$dir/$i.ini"
}

wait_ready() {
	n=0
	until curl -sf "127.0.0.1:$1/readyz" >/dev/null; do
		n=$((n + 1))
		[ "$n" -lt 100 ] || { echo "demo: no instance is ready on port $1"; tail -20 "$dir/log"; exit 1; }
		sleep 0.2
	done
}

operate() {
	"$B/turmerichinge" --platform http://127.0.0.1:20000 --token demo "$@"
}

run_mix() {
	mix=$1
	rate=$2
	leaving=$3
	services=""
	pids_before=$pids
	echo "== $mix: $rate calls a second for $SECONDS_PER_MIX s; $leaving is taken out, an instance restarts"
	start "$B/standin-platform" --listen 127.0.0.1:20000
	move_upstreams "$mix" 20100
	n=0
	until operate --force config import "$dir/$mix.ini" >/dev/null 2>&1; do
		n=$((n + 1))
		[ "$n" -lt 50 ] || { operate --force config import "$dir/$mix.ini"; exit 1; }
		sleep 0.2
	done
	start_instance 1
	start_instance 2
	start_instance 3
	third=$last
	wait_ready 20001
	wait_ready 20002
	wait_ready 20003
	(
		sleep $((SECONDS_PER_MIX / 4))
		operate upstream drain "$leaving" >/dev/null
		sleep $((SECONDS_PER_MIX / 4))
		kill -TERM "$third"
	) &
	# shellcheck disable=SC2086
	"$B/loadgen" --quiet --mix "$mix" --seed "$SEED" --rate "$rate" --duration "$SECONDS_PER_MIX" \
		--drain 30 --chats 200 --target 127.0.0.1:20001 --target 127.0.0.1:20002 \
		--target 127.0.0.1:20003 $services $LOADGEN_ARGS 2>>"$dir/log"
	rc=$?
	operate --operator http://127.0.0.1:20011 --operator http://127.0.0.1:20012 status |
		grep -E 'config_version|placed|instances' | sort | uniq -c
	for p in $pids; do
		kill -9 "$p" 2>/dev/null
	done
	pids=""
	wait
	if [ "$rc" -ne 0 ]; then
		echo "demo: $mix failed"
		tail -20 "$dir/log"
		exit 1
	fi
}

leaving_of() {
	awk '/^\[upstream / { id = $2; sub(/\]/, "", id); print id; exit }' "examples/$1/config.ini"
}

for mix in ${MIX:-brazos kaardikoda}; do
	run_mix "$mix" "$RATE" "$(leaving_of "$mix")"
done
echo "demo: nothing was lost, doubled or mixed up"
