#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=target/review/case-$(basename "$here")
[ -x "$program" ] && [ -x target/chicoryrouterd ] || exit 2
exec timeout --signal=KILL 119 "$program" "$here"
