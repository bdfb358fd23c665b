#!/bin/sh
# Runs the system on loopback: stand-ins of engines and a plain service, an instance, and a few
# requests through the whole path. Exits 0 only if every answer is as expected.
set -u
B=${BUILD:-build}/bin
dir=$(mktemp -d)
pids=""
cleanup() {
	for p in $pids; do
		kill "$p" 2>/dev/null
	done
	rm -rf "$dir"
}
trap cleanup EXIT

start() {
	"$@" >>"$dir/log" 2>&1 &
	pids="$pids $!"
}

cp demo/small.ini "$dir/conf.ini"
for i in 1 2; do
	start "$B/standin-engine" --listen 127.0.0.1:1910$i
	printf '\n[upstream e%s]\nservice=model-yard\nhost=127.0.0.1\nport=1910%s\nfailure_domain=a\n' \
		$i $i >>"$dir/conf.ini"
done
start "$B/standin-service" --listen 127.0.0.1:19111
printf '\n[upstream s1]\nservice=shop-desk\nhost=127.0.0.1\nport=19111\nfailure_domain=a\n' >>"$dir/conf.ini"
cat >"$dir/a1.ini" <<EOT
[instance]
id = a1
failure_domain = a
config_file = $dir/conf.ini
[callers]
listen = 127.0.0.1:19120
[operators]
listen = 127.0.0.1:19121
token = demo
EOT
start "$B/turmerichinged" "$dir/a1.ini"
for _ in 1 2 3 4 5 6 7 8 9 10; do
	curl -sf 127.0.0.1:19120/readyz >/dev/null && break
	sleep 0.3
done
answer=$(curl -s -XPOST 127.0.0.1:19120/v1/chat/completions -H 'Authorization: Bearer key-alder' \
	-d '{"model":"model-yard","messages":[{"role":"user","content":"hi"}],"max_tokens":3}')
echo "$answer" | grep -q ' w8903 w9953 w2545' || { echo "wrong answer: $answer"; exit 1; }
call=$(curl -s -XPOST 127.0.0.1:19120/s/shop-desk/book -H 'Authorization: Bearer key-birch' -d order-7)
echo "$call" | grep -q '"echo":"order-7"' || { echo "wrong answer: $call"; exit 1; }
echo "demo: a chat and a call went from caller to upstream and back"
