#!/usr/bin/env bash
# Plays the case `pending`: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
# TROUBLE=0 leaves the loss of the worker out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/sapphirecroft ] && [ -x target/review/release/review-standin ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review/release/review-standin case pending review/4/record.txt
