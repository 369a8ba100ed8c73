"""Memory that `[peers]` takes of one router of so many: resident, of fresh processes, with it and without.

    PYTHONPATH=. python benchmarks/accord_memory.py [--routers 1000] [--runs 5]

With it: the modules and one `Together` that has just begun. What a router holds of others after a while
(their windows and leases) is told by `accord_fleet.py` as bytes of objects, without the modules.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
from pathlib import Path
from statistics import median


def resident() -> float:
    """MB of this process."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096 / 2**20


async def one(routers: int, me: int, peers: bool, parts: bool) -> None:
    """Print what it takes; `parts`: map and regions too."""
    import uvloop  # noqa: F401, PLC0415 - as the daemon has it

    import ironrail.net.lifecycle.node  # noqa: F401, PLC0415

    if peers:
        from ironrail.net.config import config_of_table  # noqa: PLC0415
        from ironrail.net.peers.runtime import PeerRuntime  # noqa: PLC0415
        from ironrail.net.system import REAL  # noqa: PLC0415
        from ironrail.operator_file import OperatorSettings, PeerSettings  # noqa: PLC0415

        addresses = [f"127.{64 + n % 128}.{n // 128}.1:11311" for n in range(routers)]
        table = {
            "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "operator": "127.0.0.1:3", "seed": "1",
            "settings": {"me": me, "family": "cache", "classes": [CLASS], "skus": ["x"], "siblings": routers},
            "peer_listen": addresses[me], "peers": addresses,
        }  # fmt: skip
        halls = tuple(f"hall-{n % 8}" for n in range(routers))
        peers_of = PeerSettings(
            key_files={1: __file__ + ".key"},
            sending_key_id=1,
            zones=halls,
            voters=(0, 1, 2),
            zone_latency_map=parts,
        )
        regions = {f"region-{n}": [f"10.{n}.0.0/16"] for n in range(8 if parts else 0)}
        PeerRuntime(
            config_of_table(table, {}), OperatorSettings(peers=peers_of, regions=regions), REAL, print
        )
    print(resident())


CLASS = {"name": "read", "aim": 0.8, "giveUp": 1.5, "effect": "free", "value": 3.0}


def measured(routers: int, me: int, peers: bool, parts: bool = False) -> float:
    """In a process of its own."""
    given = f"{routers}, {me}, {peers}, {parts}"
    call = f"import asyncio; from benchmarks.accord_memory import one; asyncio.run(one({given}))"
    return float(subprocess.run([sys.executable, "-c", call], capture_output=True, check=True).stdout)


def main() -> int:
    """Command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--routers", type=int, default=1000)
    parser.add_argument("--runs", type=int, default=5)
    given = parser.parse_args()
    key = Path(__file__ + ".key")
    key.write_bytes(b"a key of all routers")
    try:
        without = median(measured(given.routers, 0, False) for _ in range(given.runs))
        for name, me in (("plain", given.routers - 1), ("voter", 0)):
            alone, both = (
                median(measured(given.routers, me, True, parts) for _ in range(given.runs))
                for parts in (False, True)
            )
            print(
                f"{given.routers} routers, {name}: {without:.1f} MB without [peers], {alone:.1f} MB with"
                f" policies, {both:.1f} MB with map and regions too"
            )
    finally:
        key.unlink()
    return 0


if __name__ == "__main__":
    sys.exit(main())
