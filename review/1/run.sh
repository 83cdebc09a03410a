#!/bin/sh
# Exit code: 1 rule broken, 0 held, 2 could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" && exec python3 run.py
