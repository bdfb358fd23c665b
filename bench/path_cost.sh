#!/bin/sh
# Measures the request path of one instance: CPU time per short request and per relayed event, and
# memory per open stream. Results are marked observed because they depend on the machine.
set -u
B=${BUILD:-build}/bin
N_STREAMS=${N_STREAMS:-1000}
N_SHORT=${N_SHORT:-4000}
dir=$(mktemp -d)
trap 'kill -9 $engine $instance 2>/dev/null; rm -rf "$dir"' EXIT

"$B/standin-engine" --listen 127.0.0.1:20301 --slots 5000 --max-queue 5000 --prefill 1e8 \
	--decode "${DECODE:-30}" >/dev/null &
engine=$!
cat >"$dir/conf.ini" <<EOT
[profile rewrite]
rank=batch
window_ms=600000
deadline_ms=600000
finish=yes
[service yard]
profiles=rewrite
load_bound=2
[account alder]
key=key-alder
[upstream e1]
service=yard
host=127.0.0.1
port=20301
failure_domain=a
EOT
cat >"$dir/a1.ini" <<EOT
[instance]
id=a1
failure_domain=a
config_file=$dir/conf.ini
log_level=warn
[callers]
listen=127.0.0.1:20302
[operators]
listen=127.0.0.1:20303
token=t
EOT
"$B/turmerichinged" "$dir/a1.ini" 2>"$dir/log" &
instance=$!
sleep 8

rss() { awk '/VmRSS/ { print $2 }' "/proc/$instance/status"; }
# CPU time in clock ticks; the divisions below assume 10 ms per tick (CLK_TCK 100)
ticks() { awk '{ print $14 + $15 }' "/proc/$instance/stat"; }

# curl_many COUNT PARALLEL BODY: sends COUNT requests over reused connections
curl_many() {
	for _ in $(seq "$1"); do
		printf 'url = "http://127.0.0.1:20302/v1/completions"\noutput = "/dev/null"\n'
	done >"$dir/urls"
	curl -s -Z --parallel-max "$2" -K "$dir/urls" -H 'Authorization: Bearer key-alder' -d "$3" 2>/dev/null
}

t0=$(ticks)
curl_many "$N_SHORT" 50 '{"model":"yard","prompt":"short","max_tokens":1}'
t1=$(ticks)
echo "cpu_per_short_request_us $(((t1 - t0) * 10000 / N_SHORT)) observed"

m0=$(rss)
t0=$(ticks)
for _ in 1 2 3 4 5; do
	curl_many $((N_STREAMS / 5)) $((N_STREAMS / 5)) \
		'{"model":"yard","prompt":"a stream","max_tokens":100,"stream":true}' &
	jobs="${jobs:-} $!"
	sleep 0.2
done
sleep 5
m1=$(rss)
# shellcheck disable=SC2086
wait $jobs
t1=$(ticks)
open=$(curl -s 127.0.0.1:20303/metrics -H 'Authorization: Bearer t' |
	awk '/stream_events_total/ { print $2 }')
echo "kib_per_open_stream $(((m1 - m0) / N_STREAMS)) observed"
echo "relayed_events $open"
echo "cpu_per_event_us $(((t1 - t0) * 10000 / (open > 0 ? open : 1))) observed"
