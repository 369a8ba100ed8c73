"""The operator's file: its settings, and the error messages for invalid ones."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from ironrail.__main__ import main
from ironrail.net.lifecycle.node import Node
from ironrail.operator_file import ConnectionSettings, OperatorError, OperatorSettings
from ironrail.operator_reader import read_operator
from ironrail.policy.endpoints import Endpoint
from tests.peers import World, scenario

ROOT = Path(__file__).parent.parent


PEERS = """[peers]
keys = { "1" = "/etc/key" }
sending = 1
halls = ["a", "b", "c"]
voters = [0, 1, 2]
"""


def write_file(tmp_path: Path, text: str) -> str:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    return str(path)


def test_the_shipped_file_equals_the_defaults() -> None:
    assert read_operator(str(ROOT / "deploy" / "operator.toml")) == OperatorSettings()


def test_settings_of_a_file(tmp_path: Path) -> None:
    operator_settings = read_operator(write_file(tmp_path, "[connections]\nper_cache = 8\ndepth = 1\n"))
    assert operator_settings == OperatorSettings(ConnectionSettings(per_router=8, max_in_flight=1))
    assert read_operator(write_file(tmp_path, "")) == OperatorSettings()


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[connections]\ndepth = 0\n", "connections.depth must be a whole number from 1 to 1000, not 0"),
        ("[connections]\nper_cache = 99\n", "connections.per_cache must be a whole number from 1 to 64"),
        ("[connections]\nper_cache = true\n", "connections.per_cache must be"),
        ("[connections]\nper_cache = 2.0\n", "connections.per_cache must be"),
        ("[connections]\nper_cash = 2\n", "connections.per_cash is unknown (known: cost_ms, depth"),
        ("[conections]\n", "conections is unknown (known: access_log, connections, peers, regions)"),
        ("connections = 3\n", "connections must be a table"),
        ("[connections\n", "at line 1"),
        (PEERS.replace("sending = 1", "sending = 2"), "peers.sending: no key has the id 2"),
        (PEERS.replace('"1"', '"old"'), "peers.keys: ids must be numbers from 0 to 255"),
        (PEERS.replace("[0, 1, 2]", "[0, 1, 1]"), "peers.voters must be 3, 5 or 7 different router indexes"),
        (PEERS.replace("[0, 1, 2]", "[0, 1, 3]"), "peers.voters: there are 3 routers in peers.halls"),
        (PEERS + "pace = 10\n", "peers.pace must be a whole number from 100 to 1000000, not 10"),
        (PEERS + 'start = "soon"\n', "peers.start must be invalid enum value 'soon'"),
        ("[peers]\nsending = 1\n", "peers.keys is missing"),
        ('[regions]\nzuid = ["192.0.2.0/24"]\n', "regions: need [peers], as they are sent between routers"),
        (PEERS + "steer_every = 60\n", "peers.steer_every: needs voters, per_weight and [regions]"),
        (PEERS + "explore = 0.5\n", "peers.explore must be"),
        (PEERS + "[regions]\nzuid = 3\n", "regions: each must be a list of address ranges"),
        (PEERS + '[regions]\nzuid = ["192.0.2.1/24"]\n', "regions.zuid: 192.0.2.1/24 has host bits set"),
        ("#" * 100_000, "larger than"),
    ],
)
def test_an_invalid_file_is_rejected_with_one_clear_message(
    text: str, message: str, tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    path = write_file(tmp_path, text)
    with pytest.raises(OperatorError) as e:
        read_operator(path)
    assert str(e.value).startswith(path) and message in str(e.value)
    assert main(["--operator", path]) == 2
    err = capfd.readouterr().err
    assert err.count("\n") == 1 and message in err


def test_a_missing_file_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(OperatorError, match="No such file"):
        read_operator(str(tmp_path / "x.toml"))


@scenario
async def test_connection_limits_follow_the_file() -> None:
    node = Node(World().config(), OperatorSettings(ConnectionSettings(per_router=5, max_in_flight=3)))
    cache = node._pool_factory.make(Endpoint("c", kind="std"), ("127.0.0.1", 1)).manager.state
    origin = node._pool_factory.make(Endpoint("o", kind="origin"), ("127.0.0.1", 1)).manager.state
    assert (cache.wanted_connections, cache.max_streams) == (5, 3)
    assert (origin.wanted_connections, origin.max_streams) == (
        32,
        1,
    )  # an origin serves one request at a time


@scenario
async def test_by_default_a_router_takes_its_quota_of_a_caches_connections() -> None:
    settings = World().config().settings
    for routers, each in ((3, 12), (4, 9)):
        config = replace(World().config(), settings=replace(settings, router_count=routers))
        assert (
            Node(config)
            ._pool_factory.make(Endpoint("c", kind="std"), ("127.0.0.1", 1))
            .manager.state.wanted_connections
            == each
        )
