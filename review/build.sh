#!/bin/sh
# Builds the stand-ins of the cases. They are Python programs of the standard library alone, so there is nothing to
# compile: this checks that the interpreter is there and reads them all.
set -e
cd "$(dirname "$0")"
python3 - lib/*.py [0-9]/*.py <<'CHECK'
import sys
assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"
for path in sys.argv[1:]:
    compile(open(path).read(), path, "exec")
    print("read", path)
CHECK
