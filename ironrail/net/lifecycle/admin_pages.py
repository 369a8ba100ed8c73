"""Admin endpoint of a router: readiness, metrics, and the pages of its peer components."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

from ironrail.admin.http_call import Handler, PostHandler, Response
from ironrail.net.admin_server import AdminServer
from ironrail.net.dispatch.dispatcher import RequestDispatcher
from ironrail.net.downstream.client_listener import ClientListener
from ironrail.net.system import Address, System

if TYPE_CHECKING:
    from ironrail.net.peers.runtime import PeerRuntime


class AdminPages:
    """Serves the admin pages of one router.

    Attributes:
        address: Host and port of the admin server; set by `listen`.
    """

    address: Address

    def __init__(
        self,
        dispatcher: RequestDispatcher,
        clients: ClientListener,
        is_listening: Callable[[], bool],
    ) -> None:
        """Serve these components' state; `is_listening` returns whether clients can connect."""
        self._dispatcher = dispatcher
        self._clients = clients
        self._is_listening = is_listening

    def listen(self, address: Address, system: System, peer_runtime: PeerRuntime | None) -> None:
        """Accept calls at `address`, including calls of the pages of `peer_runtime`."""
        pages: dict[str, Handler] = {"/-/ready": self._ready, "/-/metrics": self._metrics}
        posts: dict[str, PostHandler] = {}
        if peer_runtime is not None:
            pages |= peer_runtime.pages()
            posts = peer_runtime.posts()
        self._server = AdminServer(pages, system, posts)
        self.address = self._server.listen(address)

    def _ready(self) -> Response:
        if self._is_listening() and self._clients.can_serve():
            return Response(HTTPStatus.OK, b"ready\n")
        reason = b"stopping\n" if self._clients.sessions.is_draining else b"not ready\n"
        return Response(HTTPStatus.SERVICE_UNAVAILABLE, reason)

    def _metrics(self) -> Response:
        return Response(HTTPStatus.OK, self._dispatcher.metrics())
