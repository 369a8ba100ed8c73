"""Starts a router whose clock and disk can fail: `python -m ironrail.rehearsal.links.launch`.

The daemon is unchanged: it is given a system with drifting clocks, and a voter's record store is wrapped in
`disk.FaultyStore`.
"""

from __future__ import annotations

import os
import random
import sys
from collections.abc import Sequence
from pathlib import Path

from ironrail import __main__ as daemon
from ironrail.net.config import Config
from ironrail.net.lifecycle.node import Node
from ironrail.net.peers.record_store import FolderStore
from ironrail.net.peers.runtime import resolve_record_folder
from ironrail.net.system import REAL
from ironrail.operator_file import OperatorSettings
from ironrail.rehearsal.links.disk import FaultyStore
from ironrail.rehearsal.links.switch import DriftingSystem, Switch


def switch_path(config: Path) -> Path:
    """Returns the path of the switch of a router with this configuration file."""
    return config.with_suffix(".switch")


async def serve(config: Config, operator: OperatorSettings) -> None:
    """Runs the router until it is told to stop."""
    switch = Switch.at(switch_path(Path(os.environ["NODE_CONFIG"])))
    store = None
    own_index = config.settings.router_index
    if operator.peers is not None and operator.peers.record_folder and own_index in operator.peers.voters:
        store = FaultyStore(
            FolderStore(resolve_record_folder(operator.peers.record_folder, own_index)),
            switch,
            random.Random(config.seed),
        )
    await Node(config, operator, DriftingSystem(REAL, switch), store=store).serve()


def main(arguments: Sequence[str] = ()) -> int:
    """Runs one router; takes the daemon's arguments and returns its exit code."""
    return daemon.main(arguments, serve)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
