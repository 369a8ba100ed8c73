"""Reload of the configuration at SIGHUP: applies a new discovery address and nothing else."""

from __future__ import annotations

import asyncio
import logging
import os
from collections.abc import Callable
from dataclasses import replace

from ironrail.net.config import Config, read_config
from ironrail.net.local_errors import is_transient_file_error
from ironrail.net.system import Address

RETRY_INTERVAL_SECONDS = 0.1

log = logging.getLogger(__name__)


def read_current_config() -> Config:
    """Read the configuration that the environment names."""
    return read_config(dict(os.environ))


class ConfigReloader:
    """Holds the configuration in force, and applies the settings that may change at runtime.

    Attributes:
        config: The configuration in force.
    """

    def __init__(
        self,
        config: Config,
        read: Callable[[], Config],
        relocate_discovery: Callable[[Address], None],
    ) -> None:
        """Start with `config`; `read` returns the latest configuration."""
        self.config = config
        self._read = read
        self._relocate_discovery = relocate_discovery
        self._retry: asyncio.TimerHandle | None = None

    def reload(self) -> None:
        """Read the configuration again; an unusable one changes nothing.

        A file that can't be read at the moment is tried again.
        """
        if self._retry is not None:
            self._retry.cancel()
            self._retry = None
        self._try_reload(is_retry=False)

    def _try_reload(self, is_retry: bool) -> None:
        self._retry = None
        try:
            latest = self._read()
        except Exception as error:  # no content of the file may stop the router
            if not is_retry:
                log.error("reload_rejected", extra={"error": str(error)})  # noqa: TRY400
            if is_transient_file_error(error.__cause__):
                loop = asyncio.get_running_loop()
                self._retry = loop.call_later(RETRY_INTERVAL_SECONDS, self._try_reload, True)
            return
        self._apply(latest)

    def _apply(self, latest: Config) -> None:
        log.info(
            "discovery_address_changed",
            extra={"address": "{}:{}".format(*latest.discovery_address)},
        )
        updated = replace(self.config, discovery_address=latest.discovery_address)
        # The seed and the cached list differ at each start, and need no restart.
        if (
            replace(latest, seed=updated.seed, cached_endpoint_list=updated.cached_endpoint_list)
            != updated
        ):
            log.warning("restart_required")
        if updated != self.config:
            self.config = updated
            self._relocate_discovery(updated.discovery_address)
