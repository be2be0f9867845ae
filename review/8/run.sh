#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/cases ] && [ -x target/release/sapphirecroft ] || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec target/review-2/cases cancel review/8/record.txt
