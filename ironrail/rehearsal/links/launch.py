"""A router whose clock and disk can fail: `python -m ironrail.rehearsal.links.launch`, in the daemon's place.

The daemon is as it stands: its own seams are given a system with a drifting clock. A store that it is to keep
things in is wrapped here too, by `disk.FaultyStore`.
"""

from __future__ import annotations

import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

import uvloop

from ironrail.__main__ import _operator_file
from ironrail.logs import log_to_stderr
from ironrail.net.config import Config, ConfigError, read_config
from ironrail.net.node import Node
from ironrail.net.system import REAL
from ironrail.operator import Operator, OperatorError, read_operator
from ironrail.policy import interface as api
from ironrail.rehearsal.links.switch import Drifting, Switch


def switch_path(config: Path) -> Path:
    """Where the switch of a router with this file lies."""
    return config.with_suffix(".switch")


async def serve(config: Config, operator: Operator, switch: Switch) -> None:
    """Run until told to stop."""
    await Node(config, operator, Drifting(REAL, switch)).serve()


def main(arguments: Sequence[str] = ()) -> int:
    """Run one router; takes and answers with what the daemon does."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    log_to_stderr()
    path = _operator_file(arguments) if arguments else None
    try:
        operator = read_operator(path) if path else Operator()
        config = read_config(dict(os.environ))
        switch = Switch.at(switch_path(Path(os.environ["NODE_CONFIG"])))
        uvloop.run(serve(config, operator, switch))
    except (ConfigError, OperatorError, api.SettingsError) as e:
        print(f"ironrail: {e}", file=sys.stderr)
        return 2
    except OSError as e:
        print(f"ironrail: {e}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
