"""The source trees of variants: copies that stay as they are, whatever is edited while an experiment runs.

The daemon is that of the variant, the kit always that of the working tree: one measure for all. A constant is
set where its module assigns it, before anything reads it: set later, defaults of classes would keep the old
one.
"""

from __future__ import annotations

import hashlib
import io
import re
import shutil
import subprocess
import tarfile
from pathlib import Path

import ironrail
from ironrail.rehearsal.experiments.plan import ExperimentError, Variant

PACKAGE = Path(ironrail.__file__).parent
KIT = "rehearsal"
PATIENCE = 60.0  # seconds for git
IGNORED = shutil.ignore_patterns("__pycache__", "*.pyc")


def make_tree(variant: Variant, folder: Path) -> str:
    """Write a variant's tree below a folder that is not there yet; answers with a digest of all of it."""
    folder.mkdir(parents=True)
    package = folder / PACKAGE.name
    if variant.commit:
        _extract(variant, folder)
        shutil.rmtree(package / KIT, ignore_errors=True)
        shutil.copytree(PACKAGE / KIT, package / KIT, ignore=IGNORED)
    else:
        shutil.copytree(PACKAGE, package, ignore=IGNORED)
    for name, value in variant.constants.items():
        _assign(variant, folder, name, value)
    operator = Path(variant.operator).read_bytes() if variant.operator else b""
    return digest_of(package, operator)


def digest_of(package: Path, operator: bytes = b"") -> str:
    """Names a tree: two that are equal byte for byte have the same."""
    text = hashlib.sha256(operator)
    for path in sorted(package.rglob("*.py")):
        text.update(f"{path.relative_to(package)}\0".encode() + path.read_bytes() + b"\0")
    return text.hexdigest()[:16]


def _extract(variant: Variant, folder: Path) -> None:
    command = ["git", "archive", "--format=tar", variant.commit, PACKAGE.name]
    try:
        done = subprocess.run(command, cwd=PACKAGE.parent, capture_output=True, timeout=PATIENCE, check=True)
    except subprocess.CalledProcessError as e:
        lines = e.stderr.decode(errors="replace").strip().splitlines() or [f"git ended with {e.returncode}"]
        raise ExperimentError(f"variant {variant.name}: commit {variant.commit!r}: {lines[-1]}") from e
    except (OSError, subprocess.TimeoutExpired) as e:
        raise ExperimentError(f"variant {variant.name}: no git here: {e}") from e
    with tarfile.open(fileobj=io.BytesIO(done.stdout)) as archive:
        archive.extractall(folder, filter="data")


def _assign(variant: Variant, folder: Path, name: str, value: float) -> None:
    module, _, constant = name.rpartition(".")
    path = folder / Path(*module.split(".")).with_suffix(".py")
    if not path.is_file():
        raise ExperimentError(f"variant {variant.name}: there is no module {module}")
    line = re.compile(rf"^{constant}(: [^=\n]+)? = [^\n]*$", re.MULTILINE)
    text, count = line.subn(lambda found: f"{constant}{found[1] or ''} = {value!r}", path.read_text())
    if count != 1:
        raise ExperimentError(f"variant {variant.name}: {module} assigns {constant} {count} times, not once")
    path.write_text(text)
