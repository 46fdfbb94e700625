#!/usr/bin/env bash
# Case 7 of the review: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it leaves out the disruption. What happened is in record.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cases2 ] || exit 2
exec target/cases2 resumed-turn review/7
