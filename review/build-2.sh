#!/bin/sh
# Builds the stand-ins that the scripts of cases 4 to 8 start: plain Python of the standard library, so it compiles them.
cd "$(dirname "$0")" && exec python3 -m compileall -q stand_ins_2 4 5 6 7 8
