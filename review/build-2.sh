#!/bin/sh
# Checks that the stand-ins of the second review compile; they need no other build.
cd "$(dirname "$0")" || exit 2
exec python3 -m py_compile lib2/stage.py 8/case.py
