"""Plays runs for an experiment: one on each line of its input, what came of it on each line of its output.

Started in the tree of a variant. It ends with its input.
"""

from __future__ import annotations

import sys
from typing import Any

import orjson


def play(world: dict[str, Any], seed: int, operator: str) -> dict[str, Any]:
    """One run, as the fields of an outcome."""
    from ironrail.net.lifecycle.node import NO_OPERATOR_FILE  # noqa: PLC0415 - errors of the tree are a run's, not the worker's
    from ironrail.operator_reader import read_operator  # noqa: PLC0415
    from ironrail.rehearsal.scenario.model import Scenario  # noqa: PLC0415
    from ironrail.rehearsal.virtual.runner import run_virtual  # noqa: PLC0415

    settings = read_operator(operator) if operator else NO_OPERATOR_FILE
    played = run_virtual(Scenario.model_validate(world), seed, operator=settings)
    result = played.result
    return {
        "service": result.service.whole.share,
        "asked": result.service.whole.asked,
        "broken": len(result.broken),
        "faults": len(played.violations),
        "digest": result.digest,
        "losses": result.laid.causes if result.laid is not None else {},
    }


def main() -> int:
    """Serve until the input ends."""
    operator = sys.argv[1] if len(sys.argv) > 1 else ""
    for line in sys.stdin.buffer:
        asked = orjson.loads(line)
        try:
            told = play(asked["world"], asked["seed"], operator)
        except Exception as e:  # noqa: BLE001 - whatever a variant does is its run's outcome
            told = {"failed": f"{type(e).__name__}: {e}"[:500]}
        sys.stdout.buffer.write(orjson.dumps(told) + b"\n")
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
