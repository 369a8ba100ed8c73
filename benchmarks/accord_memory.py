"""Resident memory of a router process with and without `[peers]`.

    PYTHONPATH=. python benchmarks/accord_memory.py [--routers 1000] [--runs 5]

With `[peers]` it includes the modules and a `PeerRuntime` that was just created. What a router
stores about others after some time (measurement windows and leases) is reported by
`accord_fleet.py` as bytes of objects, without the modules.
"""

from __future__ import annotations

import argparse
import subprocess
import sys
from pathlib import Path
from statistics import median


def resident_megabytes() -> float:
    """Return the resident memory of this process in MB."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096 / 2**20


async def one(routers: int, own_index: int, peers: bool, with_map_and_regions: bool) -> None:
    """Print the resident memory; `with_map_and_regions`: with zone latency and steering too."""
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
            "settings": {
                "me": own_index, "family": "cache", "classes": [CLASS], "skus": ["x"], "siblings": routers,
            },
            "peer_listen": addresses[own_index], "peers": addresses,
        }  # fmt: skip
        zones = tuple(f"hall-{n % 8}" for n in range(routers))
        peers_of = PeerSettings(
            key_files={1: __file__ + ".key"},
            sending_key_id=1,
            zones=zones,
            voters=(0, 1, 2),
            zone_latency_map=with_map_and_regions,
        )
        regions = {f"region-{n}": [f"10.{n}.0.0/16"] for n in range(8 if with_map_and_regions else 0)}
        PeerRuntime(
            config_of_table(table, {}), OperatorSettings(peers=peers_of, regions=regions), REAL, print
        )
    print(resident_megabytes())


CLASS = {"name": "read", "aim": 0.8, "giveUp": 1.5, "effect": "free", "value": 3.0}


def measure(routers: int, own_index: int, peers: bool, with_map_and_regions: bool = False) -> float:
    """Measure in a process of its own."""
    args = f"{routers}, {own_index}, {peers}, {with_map_and_regions}"
    call = f"import asyncio; from benchmarks.accord_memory import one; asyncio.run(one({args}))"
    return float(subprocess.run([sys.executable, "-c", call], capture_output=True, check=True).stdout)


def main() -> int:
    """Parse the command line and print the results."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--routers", type=int, default=1000)
    parser.add_argument("--runs", type=int, default=5)
    args = parser.parse_args()
    key = Path(__file__ + ".key")
    key.write_bytes(b"a key of all routers")
    try:
        without = median(measure(args.routers, 0, False) for _ in range(args.runs))
        for name, own_index in (("plain", args.routers - 1), ("voter", 0)):
            policies_only, all_parts = (
                median(measure(args.routers, own_index, True, with_map_and_regions) for _ in range(args.runs))
                for with_map_and_regions in (False, True)
            )
            print(
                f"{args.routers} routers, {name}: {without:.1f} MB without [peers],"
                f" {policies_only:.1f} MB with policies, {all_parts:.1f} MB with map and regions too"
            )
    finally:
        key.unlink()
    return 0


if __name__ == "__main__":
    sys.exit(main())
