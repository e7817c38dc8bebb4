#!/bin/sh
# Builds what the scripts of this review start, besides the build of the deploy file. Their
# stand-ins are Python files (standard library only, Python 3.11) that need no build: this checks
# that they compile, and that the programs of the deploy file are there.
set -eu
cd "$(dirname "$0")/.."
for file in review/common-2/harness.py review/4/case.py review/5/case.py review/6/case.py review/7/case.py review/8/case.py; do
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
test -x target/release/gannetwayd
