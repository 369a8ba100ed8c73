"""The command `ironrail`; subcommands are imported late, so that `run` uses little memory."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from ironrail.errors import ExitCode

if TYPE_CHECKING:
    import click


def _add_kit_commands(group: click.Group) -> None:
    from ironrail.recorded.command import trace  # noqa: PLC0415
    from ironrail.rehearsal.command import pipeline_report  # noqa: PLC0415
    from ironrail.rehearsal.experiments.command import experiment  # noqa: PLC0415
    from ironrail.rehearsal.fleet.command import fleet  # noqa: PLC0415
    from ironrail.rehearsal.virtual.command import explore  # noqa: PLC0415
    from ironrail.rehearse import rehearse  # noqa: PLC0415

    for command in (rehearse, pipeline_report, explore, experiment, fleet, trace):
        group.add_command(command)


def _commands() -> click.Group:
    import click  # noqa: PLC0415

    @click.group(
        context_settings={"help_option_names": ["-h", "--help"]},
        epilog="Example: ironrail rehearse calm --seed 7",
    )
    @click.version_option(package_name="ironrail")
    def ironrail() -> None:
        """A router in front of grid caches, and a kit to rehearse its failures."""

    @ironrail.command(epilog="Example: NODE_CONFIG=/run/balancer/config.json ironrail run")
    @click.option("--operator", metavar="FILE", help="The operator's own file.")
    def run(operator: str | None) -> None:
        """Run one router in the foreground, as `python -m ironrail` does.

        The environment variable NODE_CONFIG names its configuration, a JSON file.
        """
        from ironrail.__main__ import main as daemon  # noqa: PLC0415

        sys.exit(daemon(["--operator", operator] if operator else []))

    _add_kit_commands(ironrail)
    return ironrail


def main() -> None:
    """Run the command; exit codes are those of `ironrail.errors.ExitCode`."""
    try:
        commands = _commands()
    except ModuleNotFoundError as error:
        print(
            f"ironrail: {error.name} is missing; the kit needs: pip install 'ironrail[kit]'",
            file=sys.stderr,
        )
        sys.exit(ExitCode.INVALID_INPUT)
    commands()


if __name__ == "__main__":
    main()
