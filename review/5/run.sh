#!/bin/sh
# A machine is stopped and started a minute after a part that crashes replicas was found.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: no disruption;
# RESTART=0: the part crashes replicas, but no machine is restarted.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/prompt ] && [ -x target/bin/turmerichinge-platform ] || exit 2
BUILD=review timeout 118 target/review/prompt 4 head restart "$here/record.txt"
rc=$?
[ "$rc" -le 1 ] || rc=2
exit "$rc"
