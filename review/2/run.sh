#!/usr/bin/env bash
# Case 2: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/review_case ] || { echo "run review/build.sh first" >&2; exit 2; }
exec target/review/review_case 2
