"""Entry point of the daemon, `python -m ironrail`; does not import the rehearsal kit."""

from __future__ import annotations

import os
import signal
import sys
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any


def _exit_at_once(*_: Any) -> None:
    """Exit with success: no client was served yet, so there is nothing to wait for."""
    os._exit(0)


if __name__ == "__main__":  # before the imports, which take time
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGINT, _exit_at_once)
    signal.signal(signal.SIGTERM, _exit_at_once)

import uvloop  # noqa: E402

from ironrail.errors import InputError  # noqa: E402
from ironrail.logs import log_to_stderr  # noqa: E402
from ironrail.net.config import Config, read_config  # noqa: E402
from ironrail.net.lifecycle.node import serve  # noqa: E402
from ironrail.net.local_errors import is_transient_file_error  # noqa: E402
from ironrail.operator_file import OperatorSettings  # noqa: E402

READ_RETRY_SECONDS = 5.0
READ_RETRY_DELAY_SECONDS = 0.05


def _operator_file(arguments: Sequence[str]) -> str | None:
    """Return the operator's file that the command line names."""
    import argparse  # noqa: PLC0415 - saves memory where there are no arguments

    parser = argparse.ArgumentParser(
        prog="ironrail",
        description="Run one router; NODE_CONFIG names its configuration.",
        epilog=(
            "Example: NODE_CONFIG=config.json python -m ironrail --operator deploy/operator.toml"
        ),
    )
    parser.add_argument("--operator", metavar="FILE", help="the operator's own file")
    operator: str | None = parser.parse_args(arguments).operator
    return operator


def _read_operator(path: str) -> OperatorSettings:
    from ironrail.operator_reader import read_operator  # noqa: PLC0415 - saves memory if unused

    return read_operator(path)


def _read_config() -> Config:
    """Read the configuration; a file that can't be read at the moment is tried again.

    Raises:
        InputError: The configuration can't be used, or can't be read for a while.
    """
    give_up_at = time.monotonic() + READ_RETRY_SECONDS
    while True:
        try:
            return read_config(dict(os.environ))
        except InputError as error:
            if not is_transient_file_error(error.__cause__) or time.monotonic() >= give_up_at:
                raise
            time.sleep(READ_RETRY_DELAY_SECONDS)


def main(
    arguments: Sequence[str] = (),
    serve: Callable[[Config, OperatorSettings], Coroutine[None, None, None]] = serve,
) -> int:
    """Run one router until a signal ends it.

    Returns:
        The exit code: 0 after a signal, 1 if it could not serve, 2 for invalid input.
    """
    # SIGHUP would end the process until the event loop handles it
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    log_to_stderr()
    path = _operator_file(arguments) if arguments else None
    try:
        operator = _read_operator(path) if path else OperatorSettings()
        config = _read_config()
        uvloop.run(serve(config, operator))
    except InputError as error:
        print(f"ironrail: {error.with_advice()}", file=sys.stderr)
        return error.exit_code
    except OSError as error:  # for example, the address to listen on is in use
        print(f"ironrail: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
