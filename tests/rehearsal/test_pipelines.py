"""The comparison of pipeline depths: what it counts, and its command."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from ironrail.connections.upstream.socket_budget import connections_per_router
from ironrail.operator_file import ConnectionSettings, OperatorSettings
from ironrail.operator_reader import read_operator
from ironrail.rehearsal.account.record import Ended, Record
from ironrail.rehearsal.command import pipeline_report
from ironrail.rehearsal.pipelines import Depth, lost_behind, operator_file
from tests.rehearsal.facts import Story, planned
from tests.rehearsal.test_command import TINY


@pytest.mark.parametrize(
    ("depth", "operator"),
    [
        (Depth(None), OperatorSettings()),
        (
            Depth(1),
            OperatorSettings(ConnectionSettings(per_router=16, max_in_flight=1, connect_cost_milliseconds=0)),
        ),
        (
            Depth(4),
            OperatorSettings(ConnectionSettings(per_router=4, max_in_flight=4, connect_cost_milliseconds=0)),
        ),
        (
            Depth(5),
            OperatorSettings(ConnectionSettings(per_router=4, max_in_flight=5, connect_cost_milliseconds=0)),
        ),  # at least 16 requests fit
        (
            Depth(100),
            OperatorSettings(
                ConnectionSettings(per_router=2, max_in_flight=100, connect_cost_milliseconds=0)
            ),
        ),
    ],
)
def test_the_same_number_of_requests_fits_at_any_depth(
    depth: Depth, operator: OperatorSettings, tmp_path: Path
) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(operator_file(depth))
    assert read_operator(str(path)) == operator


def test_lost_behind_counts_only_the_requests_behind_the_one_that_broke_the_connection() -> None:
    record = Record()
    story = Story(record, planned())
    cases = [
        (Ended.LEFT, True, "cache-1"),  # counts
        (Ended.RESET, True, "cache-1"),  # counts
        (Ended.LEFT, False, "cache-1"),  # it was the oldest one itself
        (Ended.SERVED, True, "cache-1"),
        (Ended.LEFT, True, "archive"),
    ]
    for ended, behind, server in cases:
        story.attempt(1.0, server, ended).behind = behind
    assert lost_behind(record) == 2


def test_the_command_runs_each_depth_and_reports_it(tmp_path: Path) -> None:
    path, output = tmp_path / "tiny.toml", tmp_path / "depths.json"
    path.write_text(TINY)
    done = CliRunner().invoke(pipeline_report, [str(path), "--depths", "1,as-is", "--json", str(output)])
    assert done.exit_code in (0, 3), done.output
    report = json.loads(output.read_bytes())
    assert (report["format"], report["version"]) == ("ironrail-pipelines", 1)
    assert [line["depth"] for line in report["lines"]] == ["1", "as it is"]
    assert [line["allowed"] for line in report["lines"]] == [16, connections_per_router(90, 1)]
    for line in report["lines"]:
        assert line["attempts"] > 0 and line["broken"] == 0
        assert set(line["latencies"]) == {"0.5", "0.9", "0.99", "0.999"}


@pytest.mark.parametrize("depths", ["x", "0", "1,,2", "5000", "-1"])
def test_invalid_depths_are_rejected(depths: str) -> None:
    done = CliRunner().invoke(pipeline_report, ["calm", "--depths", depths])
    assert done.exit_code == 2 and "--depths" in done.output
