"""The router as the deployment starts it: `python -m ironrail`, lean, and without anything of the kit."""

from __future__ import annotations

import logging
import os
import signal
import sys

import uvloop

from ironrail.net.config import ConfigError, read_config
from ironrail.net.node import serve
from ironrail.policy import interface as api


def main() -> int:
    """Run one router; answers with the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until there is something to reload, it must not kill
    logging.basicConfig(level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s", stream=sys.stderr)
    try:
        config = read_config(dict(os.environ))
        uvloop.run(serve(config))
    except (ConfigError, api.SettingsError) as e:
        print(f"ironrail: {e}", file=sys.stderr)
        return 2
    except OSError as e:  # the address to listen on is taken, say
        print(f"ironrail: {e}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
