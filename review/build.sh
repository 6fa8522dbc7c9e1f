#!/bin/sh
# The stand-ins need no build: they are Python 3.11 scripts without packages. This only checks that
# they can be read; the daemons come from the build of the deploy file.
cd "$(dirname "$0")" || exit 2
python3 -B -c '
import ast, glob, sys, tomllib
for name in sorted(glob.glob("**/*.py", recursive=True)):
    ast.parse(open(name, encoding="utf-8").read(), name)
'
