#!/bin/sh
# exit status: 1 the rule is broken, 0 it held, 2 the case could not run
cd "$(dirname "$0")" || exit 2
RECORD="$PWD/record.txt" exec python3 case.py
