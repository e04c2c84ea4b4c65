#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves the disruption out.
# SEED sets the random choices of the stand-ins.
cd "$(dirname "$0")/../.." && exec target/review-world-3 evacuated review/10/record.txt
