"""A router whose clock and disk can fail: `python -m ironrail.rehearsal.links.launch`, in the daemon's place.

The daemon is as it stands: its own seams are given a system with a drifting clock. A store that it is to keep
things in is wrapped here too, by `disk.FaultyStore`.
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
from ironrail.rehearsal.links.switch import Drifting, Switch


def switch_path(config: Path) -> Path:
    """Where the switch of a router with this file lies."""
    return config.with_suffix(".switch")


async def serve(config: Config, operator: OperatorSettings) -> None:
    """Run until told to stop."""
    switch = Switch.at(switch_path(Path(os.environ["NODE_CONFIG"])))
    store = None
    me = config.settings.router_index
    if operator.peers is not None and operator.peers.record_folder and me in operator.peers.voters:
        store = FaultyStore(
            FolderStore(resolve_record_folder(operator.peers.record_folder, me)),
            switch,
            random.Random(config.seed),
        )
    await Node(config, operator, Drifting(REAL, switch), store=store).serve()


def main(arguments: Sequence[str] = ()) -> int:
    """Run one router; takes and answers with what the daemon does."""
    return daemon.main(arguments, serve)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
