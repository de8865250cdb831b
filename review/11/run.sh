#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/wagtailspar ] && [ -x target/review-3 ] || { echo "build first"; exit 2; }
TROUBLE="${TROUBLE:-1}" REVIEW_CASE=11 REVIEW_FOLDER=review/11 exec target/review-3
