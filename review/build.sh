#!/bin/sh
# Builds the drivers of the cases, with the project's own stand-ins from tests/, into target/review/.
# Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
drivers="entry flood prompt"
shared=
for o in tests/site tests/site_case tests/site_store tests/site_replica tests/site_proxy \
	review/record; do
	shared="$shared target/$o.o"
done
mains=
for d in $drivers; do
	mains="$mains target/review/$d.o"
done
make -s -j4 BUILD=target target/libturmerichinge.a $shared $mains
libs=$(pkg-config --libs glib-2.0 gio-2.0 gio-unix-2.0 libsoup-3.0 json-glib-1.0 msgpack libxxhash)
for d in $drivers; do
	${CC:-gcc} -Wl,--as-needed -o "target/review/$d" "target/review/$d.o" $shared \
		target/libturmerichinge.a $libs -lhttp_parser -lm
done
