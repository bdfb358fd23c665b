#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in hang lost mixed chunks; do
	gcc -std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Wno-unused-parameter -pthread \
		-o "target/review-2/$name" "review/standins-2/$name.c" review/standins-2/stand.c
done
