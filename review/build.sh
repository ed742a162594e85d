#!/bin/sh
# Builds the stand-ins of the cases. They need nothing but Python's standard library,
# so that compiling them is all there is to build.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q common [0-9]
