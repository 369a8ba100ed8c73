"""Errors of calls to discovery."""

from __future__ import annotations

from ironrail.errors import InputError


class DiscoveryError(InputError):
    """A call to discovery that returned no usable endpoint list."""

    advice = "look whether discovery runs and answers at the configured address"


class ResponseStatusError(DiscoveryError):
    """A response with a status other than 200."""

    advice = "look at discovery's own log for the reason of the status"

    def __init__(self, status: int) -> None:
        """Create the error for a response with this HTTP status."""
        super().__init__(f"discovery answered {status}")
        self.status = status


class MalformedResponseError(DiscoveryError):
    """A response that began but broke off, timed out or can't be parsed."""

    advice = "look at discovery's own log, and at what stands between it and the router"


class EndpointListError(DiscoveryError):
    """An endpoint list that can't be used; the previous list stays in force."""

    advice = "look at what discovery answers to `GET /api/targets` at the configured address"


class ConnectTimeoutError(DiscoveryError):
    """A connect to discovery that timed out."""

    advice = "look whether discovery's address can be reached from this machine"


class ResponseTimeoutError(DiscoveryError):
    """A request that timed out before the first byte of its response."""

    advice = "look whether discovery is overloaded, or hangs"


class WatchTimeoutError(DiscoveryError):
    """A watch without a response after its wait and grace period."""

    advice = "look whether discovery hangs, or the connection to it loses packets"
