#!/bin/sh
# Builds the stand-ins that the scripts start. They are plain Python of the standard library: compiling checks them.
cd "$(dirname "$0")" || exit 1
exec python3 -m py_compile stand_ins/deployment.py 2/case.py 3/case.py
