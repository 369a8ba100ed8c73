"""Runs a router with one deliberate fault: `python -m tests.mutants NAME`; `true` has none."""

from __future__ import annotations

import importlib
import sys

from ironrail.__main__ import main

name = sys.argv[1]
if name != "true":
    importlib.import_module(f"tests.mutants.{name}").break_it()
sys.exit(main())
