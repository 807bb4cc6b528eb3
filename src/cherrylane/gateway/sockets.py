"""The listening sockets of a daemon, opened before the rest of the program is loaded.

Callers whose connection the kernel accepts wait a moment for their answer; callers that are
refused give up or go elsewhere. Loading takes 0.3 s of processor time, which is long for them when
all hosts start again at once.
"""

from socket import AF_INET, SO_REUSEADDR, SOCK_STREAM, SOL_SOCKET, socket

from attrs import frozen

from cherrylane.errors import SettingsError
from cherrylane.settings.gateway import GatewaySettings
from cherrylane.settings.schema import Endpoint

# Connections that may wait to be accepted; more than come in while the program is loaded.
BACKLOG = 1024


@frozen
class ListeningSockets:
    """One socket for each listener; ``metrics`` is None where no metrics are served."""

    callers: socket
    readiness: socket
    directory: socket
    peers: socket
    metrics: socket | None


def open_sockets(settings: GatewaySettings) -> ListeningSockets:
    """Begin to listen; raises :class:`SettingsError` for an address that cannot be used."""
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
    opened = socket(AF_INET, SOCK_STREAM)
    try:
        opened.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        opened.bind((endpoint.address, endpoint.port))
        opened.listen(BACKLOG)
        opened.setblocking(False)
    except OSError as error:
        opened.close()
        raise SettingsError(
            f"cannot listen on {endpoint} ({error})", remedy="free the port or choose another"
        ) from error
    return opened
