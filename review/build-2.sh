#!/bin/sh
# What the scripts of review/4 and above start beside the gateway itself (deploy/system.toml builds that).
# Their machines, operators and clients are in review/kit2.py: Python's standard library alone, nothing to make.
cd "$(dirname "$0")/.." || exit 2
python3 -B -c "import ast, pathlib; [ast.parse(p.read_text()) for p in pathlib.Path('review').glob('**/*.py')]"
