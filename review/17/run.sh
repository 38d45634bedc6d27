#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$(readlink -f "${BASH_SOURCE[0]}")")/../.." || exit 2
exec timeout --kill-after=5 115 java -Xmx128m -cp target/review-3/classes review3.LateStartCase "$PWD/review/17"
