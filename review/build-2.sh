#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python files that need the standard library
# alone and run from the deployment's own environment, so this checks that all of them load there.
cd "$(dirname "$0")" || exit 1
python=../.venv/bin/python
test -x $python || { echo "build first, as deploy/balancer.toml says" >&2; exit 1; }
for file in harness2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    test -f "$file" || continue
    $python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
exec $python -B -c 'import harness2'
