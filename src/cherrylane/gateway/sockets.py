"""The listening sockets of the daemon, opened before the rest of the program is imported.

A caller whose connection the kernel accepts waits a moment for its response; one whose connection
is refused fails or goes to another host. The import takes 0.3 s of CPU time, too long to refuse
connections when all hosts restart at once.
"""

from socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket

from attrs import frozen

from cherrylane.errors import SettingsError
from cherrylane.settings.gateway import GatewaySettings
from cherrylane.settings.schema import Endpoint

# Length of the accept queue; more than the connections that arrive during the import.
BACKLOG = 1024


@frozen
class ListeningSockets:
    """One socket for each listener; ``metrics`` is None if metrics are disabled."""

    callers: socket
    readiness: socket
    directory: socket
    peers: socket
    metrics: socket | None


def open_sockets(settings: GatewaySettings) -> ListeningSockets:
    """Open all listeners; raises :class:`SettingsError` for an address that cannot be bound."""
    listen = settings.listen
    metrics = None
    if settings.metrics_port:
        metrics = _open(Endpoint(settings.identity.address, settings.metrics_port))
    return ListeningSockets(
        callers=_open(listen.callers),
        readiness=_open(listen.readiness),
        directory=_open(listen.directory),
        peers=_open(listen.peers),
        metrics=metrics,
    )


def _open(endpoint: Endpoint) -> socket:
    listener = socket(AF_INET, SOCK_STREAM)
    try:
        listener.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        listener.bind((endpoint.address, endpoint.port))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except OSError as error:
        listener.close()
        raise SettingsError(
            f"cannot listen on {endpoint} ({error})",
            remedy="set an address of this host and a free port",
        ) from error
    return listener
