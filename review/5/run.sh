#!/bin/sh
# A part of the prompt crashes the replicas when the first event of the answer is sent. CRASH=head: before it.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/prompt ] && [ -x target/bin/turmerichinge-platform ] || exit 2
BUILD=review timeout 115 target/review/prompt 3 "${CRASH:-event}" steady "$here/record.txt"
rc=$?
[ "$rc" -le 1 ] || rc=2
exit "$rc"
