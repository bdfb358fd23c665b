#!/bin/sh
# A new configuration raises max_header_bytes while callers keep their connections open.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/limit ] && [ -x target/bin/turmerichinge-platform ] || exit 2
BUILD=review timeout 115 target/review/limit "$here/record.txt"
rc=$?
[ "$rc" -le 1 ] || rc=2
exit "$rc"
