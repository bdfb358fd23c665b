#!/bin/sh
# Builds the stand-ins and drivers of the cases into target/review/, with the project's own stand-ins
# from tests/. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
objs="site site_case site_store site_replica site_proxy"
list=
for o in $objs; do
	list="$list target/tests/$o.o"
done
make -s -j4 BUILD=target target/libturmerichinge.a $list target/review/record.o \
	target/review/kept.o target/review/entry.o target/review/prompt.o target/review/nested.o \
	target/review/limit.o
mkdir -p target/review
for d in entry prompt nested limit; do
	${CC:-gcc} -Wl,--as-needed -o "target/review/$d" "target/review/$d.o" target/review/record.o \
		target/review/kept.o $list target/libturmerichinge.a \
		$(pkg-config --libs glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 json-glib-1.0 msgpack libxxhash) \
		-lhttp_parser -lm
done
