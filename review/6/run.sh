#!/bin/sh
# Exits with 1 if a stream lost events, 0 if none did, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review2 spoilt review/6/record.txt
