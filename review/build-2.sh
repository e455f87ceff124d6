#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. They are Python modules that use the
# project's store stand-in and the libraries that deploy/build places under target/deps.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/ebonyvalve/standin ] || sh deploy/build
python3 -m compileall -q review/harness-2
PYTHONPATH="target/deps:review/harness-2" python3 -c "import fleet"
