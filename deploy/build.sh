#!/usr/bin/env bash
# Installs the third-party libraries and the packages that the roles need into
# target/deps, and compiles these packages to bytecode.
set -eu
mkdir -p target
if [ ! target/.libraries -nt deploy/requirements.txt ]; then
    rm -rf target/deps
    python3 -m pip install -q --target target/deps -r deploy/requirements.txt
    touch target/.libraries
fi
for package in pollenkeel_kernel pollenkeel_jobs pollenkeel_platform; do
    rm -rf "target/deps/$package"
done
cp -r packages/pollenkeel-kernel/src/pollenkeel_kernel target/deps/
cp -r packages/pollenkeel-jobs/src/pollenkeel_jobs target/deps/
cp -r platform/src/pollenkeel_platform target/deps/
python3 -m compileall -q target/deps/pollenkeel_*
