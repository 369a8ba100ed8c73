"""Costs that grow with the fleet: `python benchmarks/fleet_cost.py [--json FILE]`, ten seconds on one core.

For fleets of 10, 60, 200 and 1,000 caches: CPU of a rebuild of the ring after one change; CPU of the
decisions on a request that its first cache serves, also while a tenth of the caches is cold and with 40
routers; the load of the fullest and the emptiest cache relative to the mean; the fraction of keys that move
when one cache leaves, relative to the ideal; CPU of the daemon from exec until it answers, with a cached
endpoint list.
"""

from __future__ import annotations

import argparse
import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import psutil

from ironrail.policy.actions import SendAttempt
from ironrail.policy.endpoints import Endpoint, EndpointListKind, EndpointState
from ironrail.policy.events import AttemptEnded, AttemptStatus, EndpointListUpdate, RequestReceived
from ironrail.policy.router import Router
from ironrail.policy.settings import RequestClass, Settings

SIZES = (10, 60, 200, 1000)
KEYS = 20_000
REQUESTS = 4_000
READY_TIMEOUT_SECONDS = 20.0
READ = RequestClass("read", latency_objective=0.8, client_timeout=1.5)


def make_router(caches: int, routers: int, cold: int = 0) -> Router:
    settings = Settings(
        {"read": READ},
        cache_aside=True,
        origin_kind="origin",
        hedging_allowed=True,
        cancellation_allowed=True,
        max_attempts=3,
        router_count=routers,
        connections_are_costly=routers > 1,
    )
    router = Router(settings, 1, 1000.0)
    router.handle(1000.0, EndpointListUpdate(EndpointListKind.FULL, endpoints(caches, cold)))
    return router


def endpoints(caches: int, cold: int = 0) -> tuple[Endpoint, ...]:
    made = [Endpoint(f"s-{n:04x}", weight=1.0, started_at=999.0 if n < cold else 0.0) for n in range(caches)]
    return (*made, Endpoint("origin", kind="origin"))


def measure_cpu(work: Callable[[], int]) -> float:
    """Return the microseconds of CPU for each unit of work, the best of three runs."""
    best = float("inf")
    for _ in range(3):
        began = time.process_time()
        done = work()
        best = min(best, (time.process_time() - began) / done)
    return best * 1e6


def rebuild_cost(router: Router, caches: int) -> float:
    """Return the CPU of a rebuild of the ring after one cache drained or returned."""
    endpoint = endpoints(caches)[0]

    def work() -> int:
        for n in range(40):
            state = EndpointState.DRAINING if n % 2 == 0 else EndpointState.READY
            router.handle(
                1000.0, EndpointListUpdate(EndpointListKind.DELTA, (replace(endpoint, state=state),))
            )
            router.requests.rebuild_ring_if_needed()
        return 40

    return measure_cpu(work)


def request_cost(router: Router) -> float:
    """Return the CPU of the decisions on a request and on the end of its attempt."""
    count, now = 0, 1000.0

    def work() -> int:
        nonlocal count, now
        for _ in range(REQUESTS):
            count, now = count + 1, now + 0.01
            name = f"r{count}"
            for action in router.handle(now, RequestReceived(name, "read", 1.0, f"grid-{count % 500}", 0.1)):
                if isinstance(action, SendAttempt):
                    router.handle(
                        now + 0.005, AttemptEnded(name, action.attempt_number, AttemptStatus.OK, True, 0.005)
                    )
        return REQUESTS

    return measure_cpu(work)


def chosen_caches(caches: tuple[Endpoint, ...], size: int) -> list[str]:
    router = make_router(size, 1)
    router.handle(1000.0, EndpointListUpdate(EndpointListKind.FULL, caches))
    router.requests.rebuild_ring_if_needed()
    sends = []
    for n in range(KEYS):
        request_id = f"k{n}"
        for action in router.handle(1000.0, RequestReceived(request_id, "read", 1.0, f"grid-{n}", 0.1)):
            if isinstance(action, SendAttempt):
                sends.append(action.server)
                router.handle(
                    1000.0, AttemptEnded(request_id, action.attempt_number, AttemptStatus.OK, True, 0.001)
                )
    return sends


def placement(size: int) -> dict[str, float]:
    """Return the balance and the moved keys of the whole ring, without hot keys."""
    before, after = chosen_caches(endpoints(size), size), chosen_caches((*endpoints(size)[1:],), size)
    moved = sum(a != b for a, b in zip(before, after, strict=True)) / KEYS
    counts = Counter(before)
    return {
        "fullest": max(counts.values()) * size / KEYS,
        "emptiest": min(counts.get(entry.name, 0) for entry in endpoints(size)[:-1]) * size / KEYS,
        "moved": moved,
        "ideal": 1 / size,
    }


def start_cost(caches: int) -> float:
    """Return the CPU seconds of the daemon from exec until it answers `mn`."""
    with tempfile.TemporaryDirectory() as folder, socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
        probe.close()
        servers = [
            {
                "id": e.name,
                "addr": "127.0.0.1:9",
                "zone": "a",
                "kind": e.kind or "std",
                "cell": 0,
                "state": "in_service",
                "weight": 1.0,
                "started_ms": 0,
            }
            for e in endpoints(caches)
        ]
        config: dict[str, Any] = {
            "name": "n0",
            "listen": f"127.0.0.1:{port}",
            "discovery": "127.0.0.1:9",
            "seed": "1",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"version": 1, "full": True, "servers": servers},
            "settings": {
                "classes": [{"name": "read", "aim": 0.8, "effect": "free"}],
                "skus": ["std", "origin"],
                "familyInfo": {"mode": "aside", "originKind": 1},
            },
        }
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        environ = {**os.environ, "NODE_CONFIG": str(path)}
        daemon = subprocess.Popen(
            [sys.executable, "-B", "-m", "ironrail"], env=environ, stderr=subprocess.DEVNULL
        )
        try:
            until = time.monotonic() + READY_TIMEOUT_SECONDS
            while time.monotonic() < until:
                try:
                    with socket.create_connection(("127.0.0.1", port), 1.0) as client:
                        client.sendall(b"mn\r\n")
                        if client.recv(16) == b"MN\r\n":
                            return sum(psutil.Process(daemon.pid).cpu_times()[:2])
                except OSError:
                    time.sleep(0.01)
            raise SystemExit("the daemon never answered")
        finally:
            daemon.kill()
            daemon.wait()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("--json", metavar="FILE", help="write the figures to a JSON file")
    results = []
    options = parser.parse_args()
    print(
        "caches  rebuild us  request us  a tenth cold  40 routers  fullest  emptiest  moved/ideal  start ms"
    )
    for size in SIZES:
        row = {
            "caches": size,
            "rebuild": rebuild_cost(make_router(size, 1), size),
            "request": request_cost(make_router(size, 1)),
            "cold": request_cost(make_router(size, 1, cold=size // 10)),
            "parts": request_cost(make_router(size, 40)),
            **placement(size),
            "start": min(start_cost(size) for _ in range(3)) * 1e3,
        }
        results.append(row)
        moved = row["moved"] / row["ideal"]
        print(
            f"{size:6} {row['rebuild']:11.0f} {row['request']:11.1f} {row['cold']:13.1f} {row['parts']:11.1f}"
            f" {row['fullest']:8.2f} {row['emptiest']:9.2f} {moved:12.2f} {row['start']:9.0f}"
        )
    if options.json:
        Path(options.json).write_text(json.dumps(results, indent=2) + "\n")


if __name__ == "__main__":
    main()
