#!/usr/bin/env bash
# Checks and compiles the stand-ins that the scripts of the third review start. They
# need the build of the deploy file (target/deps) and nothing else.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:standins python3 -c "import pollenkeel_standins.relay"
python3 -m compileall -q review/site3.py review/1[1-5] standins/pollenkeel_standins
