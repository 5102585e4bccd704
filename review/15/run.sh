#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/guavahitch ] && [ -x target/review-rig-3 ] || exit 2
exec target/review-rig-3 version-zero "$folder/record.txt"
