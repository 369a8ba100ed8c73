"""Chooses the endpoint watcher for a deployment."""

from __future__ import annotations

from ironrail.diagnostics.counters import ReasonCounter
from ironrail.net.discovery.agent_watcher import AgentWatcher
from ironrail.net.discovery.endpoint_list import EndpointListReader
from ironrail.net.discovery.service_watcher import ServiceWatcher
from ironrail.net.discovery.watcher import EndpointWatcher
from ironrail.net.system import Address


def make_endpoint_watcher(
    address: Address,
    reader: EndpointListReader,
    polls: bool,
    router_index: int = 0,
    call_results: ReasonCounter | None = None,
) -> EndpointWatcher:
    """Return a watcher: of a polled service if `polls`, otherwise of an agent on this machine."""
    if polls:
        return ServiceWatcher(address, reader, router_index, call_results)
    return AgentWatcher(address, reader, call_results)
