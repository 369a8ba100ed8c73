"""The command: exit codes, reports, and what is left behind."""

from __future__ import annotations

import json
import re
import signal
import subprocess
import sys
from pathlib import Path

import psutil
import pytest
from click.testing import CliRunner, Result

from ironrail.rehearsal.lateness import Lateness
from ironrail.rehearsal.scenario.faults import FaultKind
from ironrail.rehearse import rehearse

ROOT = Path(__file__).parent.parent.parent
TINY = """
summary = "tiny & <small>"
length = "1500 ms"
warm_up = "500 ms"
[load]
rate = 60
keys = 20
[routers]
count = 1
[caches]
count = 2
"""
FAULT = '[[fault]]\nkind = "stall"\nwhom = "cache-1"\nat = "500 ms"\nlasts = "500 ms"\n'


@pytest.fixture
def tiny(tmp_path: Path) -> str:
    path = tmp_path / "tiny.toml"
    path.write_text(TINY + FAULT)
    return str(path)


def call(*arguments: str) -> Result:
    return CliRunner().invoke(rehearse, arguments)


@pytest.mark.sockets
def test_reports_of_a_run(tiny: str, tmp_path: Path) -> None:
    told, page = tmp_path / "r.json", tmp_path / "r.html"
    done = call(tiny, "--seed", "5", "--json", str(told), "--html", str(page))
    report = json.loads(told.read_bytes())
    assert (done.exit_code, report["outcome"]) == (
        {"kept": 0, "no verdict": 3}[report["outcome"]],
        report["outcome"],
    )
    assert (report["format"], report["version"], report["seed"]) == ("ironrail-rehearsal", 2, 5)
    assert report["schedule"]["first_tries"] > 50
    for verdict in report["verdicts"]:
        assert verdict.keys() == {"name", "kept", "bound", "measured", "sense", "note"}
    assert {"rule one-answer", "rule cold"} <= {v["name"] for v in report["verdicts"]}
    assert report["faults"] == [
        {"kind": "stall", "victims": ["cache-1"], "at": 0.5, "lasts": 0.5, "hard": None}
    ]
    service, answers = report["service"], report["service"]["answers"]
    assert service["whole"]["first_tries"] > 30
    assert service["classes"]["grid-read"]["judged"] and "judged" in service["titles"]["daily"]
    assert answers["taken"] > 50 and (answers["lost"], answers["untimed"]) == (0, 0)
    assert report["routers"]["router-1"]["stopped_in"] < 4.5
    text = page.read_text()
    assert text.count("<svg") == 6 and "stall cache-1" in text
    assert "tiny &amp; &lt;small&gt;" in text
    assert not re.search(r'(src|href)="https?:', text)  # the page needs no other files
    assert "begins: stall cache-1" in done.output and "tries taken" in " ".join(done.output.split())
    assert "tries taken" in text and "<td>yes</td>" in text


@pytest.mark.sockets
def test_the_same_seed_gives_the_same_requests_and_verdicts(tiny: str, tmp_path: Path) -> None:
    told = []
    for n in range(2):
        path = tmp_path / f"{n}.json"
        call(tiny, "--json", str(path))
        report = json.loads(path.read_bytes())
        told.append(
            (report["schedule"], report["faults"], [(v["name"], v["kept"]) for v in report["verdicts"]])
        )
    assert told[0] == told[1]


@pytest.mark.sockets
def test_json_on_standard_output_is_nothing_else(tiny: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", "ironrail.cli", "rehearse", tiny, "--json", "-"],
        cwd=ROOT, capture_output=True, timeout=60, check=False,
    )  # fmt: skip
    assert json.loads(done.stdout)["format"] == "ironrail-rehearsal"
    assert b"verdict" in done.stderr


@pytest.mark.sockets
def test_a_failed_verdict_is_exit_1(tmp_path: Path) -> None:
    path = tmp_path / "hard.toml"
    path.write_text(TINY + "[bounds]\narchive_fetches = 0.0\n")
    done = call(str(path))
    assert done.exit_code in (1, 3) and "FAILED" in done.output


@pytest.mark.sockets
def test_a_late_kit_is_reported_without_a_verdict(tiny: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Lateness, "too_late", lambda self: "as a test has it")
    done = call(tiny)
    assert done.exit_code == 3 and "no verdict" in done.output


@pytest.mark.parametrize("command", ["false", f"{sys.executable} -c pass"])
def test_a_router_that_ends_at_once_fails_a_verdict(command: str, tiny: str) -> None:
    done = call(tiny, "--router", command)
    assert done.exit_code == 1
    assert re.search(r"routers never ready +│ FAILED", done.output)


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["clam"], "ironrail: clam: no scenario of that name"),
        (["calm", "--router", "/nowhere/at-all"], "No such file"),
        (["calm", "--json", "/nowhere/r.json"], "No such file"),
        (["calm", "--html", "/nowhere/r.html"], "No such file"),
        ([], "name a SCENARIO"),
        (["calm", "--seed", "x"], "not a valid integer"),
        (["calm", "--routers", "0"], "not in the range"),
    ],
)
def test_unusable_input_is_exit_2_with_its_reason(arguments: list[str], message: str) -> None:
    done = call(*arguments)
    assert done.exit_code == 2
    assert message in done.output and "Traceback" not in done.output


def test_a_fault_with_an_unknown_target_is_exit_2(tmp_path: Path) -> None:
    path = tmp_path / "x.toml"
    path.write_text(TINY + FAULT.replace("cache-1", "cache-9"))
    done = call(str(path))
    assert done.exit_code == 2
    assert done.output.strip() == f"ironrail: {path}: fault 1 (stall): no caches are called 'cache-9'"


@pytest.mark.parametrize(
    ("fields", "field"),
    [("[routers]\ncount = 65", "routers.count: 65"), ("[load]\nrate = 5001", "load.rate: 5001")],
)
def test_scenarios_beyond_the_limits_of_real_sockets_are_rejected(
    fields: str, field: str, tmp_path: Path
) -> None:
    path = tmp_path / "large.toml"
    path.write_text(f'summary = "large"\nlength = "1 s"\n{fields}\n')
    done = call(str(path))
    assert done.exit_code == 2
    assert done.output.startswith(f"ironrail: {field} ") and done.output.count("\n") == 1


@pytest.mark.sockets
@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_an_interrupted_run_leaves_no_process_and_no_port(number: signal.Signals) -> None:
    kit = subprocess.Popen(
        [sys.executable, "-u", "-m", "ironrail.cli", "rehearse", "calm"],
        cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
    )  # fmt: skip
    assert kit.stdout is not None
    for line in kit.stdout:
        if "of 10 s" in line:
            break
    routers = psutil.Process(kit.pid).children(recursive=True)
    assert len(routers) >= 3
    ports = {c.laddr for r in routers for c in r.net_connections() if c.status == psutil.CONN_LISTEN}
    assert ports
    kit.send_signal(number)
    output, _ = kit.communicate(timeout=20)
    if number is signal.SIGKILL:
        psutil.wait_procs(routers, timeout=10)  # the kernel kills them shortly after
    else:
        assert kit.returncode == 130 and "nothing is left running" in output
    assert not any(r.is_running() and r.status() != psutil.STATUS_ZOMBIE for r in routers)
    listening = {c.laddr for c in psutil.net_connections("tcp") if c.status == psutil.CONN_LISTEN}
    assert not ports & listening


def test_the_list_and_the_help() -> None:
    listed = call("--list")
    assert listed.exit_code == 0
    assert all(name in listed.output for name in ("calm", "saturday", "hall-cut"))
    assert "Example: ironrail rehearse" in call("--help").output


def test_the_operators_page_describes_every_fault() -> None:
    page = (ROOT / "docs" / "rehearsal" / "operators.md").read_text()
    assert [kind for kind in FaultKind if f"`{kind}`" not in page] == []


def imported(code: str) -> set[str]:
    """Return the modules that a new process has imported after running this code."""
    code += "; import sys; print(*sys.modules)"
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True)
    return set(done.stdout.split())


def test_the_daemon_imports_nothing_of_the_kit() -> None:
    kit = {"click", "rich", "pydantic", "matplotlib", "jinja2", "psutil", "numpy", "ironrail.rehearsal"}
    assert not imported("import ironrail.__main__, ironrail.simhost") & kit


def test_the_command_imports_slow_modules_only_when_needed() -> None:
    modules = imported("from ironrail.cli import _commands; _commands()")
    assert "ironrail.rehearsal" in modules and not modules & {"scipy", "matplotlib"}
