"""Time limits on whole exchanges over blocking sockets.

A socket's own timeout bounds the time between two reads only, so that an end in trouble that sends
a byte now and then occupies a thread for as long as it likes. One thread watches all limits and
shuts down the sockets whose time is over, which ends the read in progress.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from itertools import count
from socket import SHUT_RDWR, socket
from threading import Condition, Thread
from time import monotonic

from attrs import define
from logbook import Logger

log = Logger("cherrylane.http")


@define
class TimeLimit:
    """A time limit in force; ``is_over`` once its socket was shut down.

    What was read by then may look complete, as a body that ends with its connection does.
    """

    sock: socket
    ends_at: float
    what: str
    is_over: bool = False


class SocketDeadlines:
    """The time limits in force.

    Example::

        with deadlines.limit(connection, 60.0, "body of a request"):
            body = connection.makefile("rb").read()
    """

    def __init__(self) -> None:
        self._limits: dict[int, TimeLimit] = {}
        self._numbers = count()
        self._changed = Condition()
        self._is_started = False

    @contextmanager
    def limit(self, sock: socket, seconds: float, what: str) -> Iterator[TimeLimit]:
        """Shut down ``sock`` if the body of the ``with`` statement takes over ``seconds``."""
        number = next(self._numbers)
        limit = TimeLimit(sock, monotonic() + seconds, what)
        with self._changed:
            self._limits[number] = limit
            if not self._is_started:
                self._is_started = True
                Thread(target=self._run, name="deadlines", daemon=True).start()
            self._changed.notify()
        try:
            yield limit
        finally:
            with self._changed:
                self._limits.pop(number, None)

    def _run(self) -> None:
        with self._changed:
            while True:
                now = monotonic()
                for number in [key for key, one in self._limits.items() if one.ends_at <= now]:
                    _shut_down(self._limits.pop(number))
                first = min((one.ends_at for one in self._limits.values()), default=None)
                self._changed.wait(None if first is None else first - now)


def _shut_down(limit: TimeLimit) -> None:
    limit.is_over = True
    log.warning(f"{limit.what} not complete within its time limit; closing the connection")
    try:
        limit.sock.shutdown(SHUT_RDWR)
    except OSError as error:
        # The other end or the reader has closed it meanwhile.
        log.debug(f"connection was closed already ({error})")


# Shared by all servers and clients of a process.
DEADLINES = SocketDeadlines()
