#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the node, which the build line of the deploy file builds.
# Their stand-ins are Python programs without dependencies: this checks that they can be read.
set -eu
cd "$(dirname "$0")"
for program in lab2.py [0-9]*/run.py; do
    case $program in [1-5]/*) continue ;; esac
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$program"
done
