#!/usr/bin/env bash
# The stand-ins are Python programs that use the standard library only. There is
# nothing to compile; this checks that the interpreter takes them.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
