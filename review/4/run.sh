#!/bin/sh
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/target/review/$(basename "$here")"
[ -x "$program" ] || exit 2
exec "$program" "$here" "$root"
