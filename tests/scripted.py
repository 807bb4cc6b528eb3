"""A test upstream that sends exactly the bytes that a script sends."""

from collections.abc import Callable
from socket import SHUT_RDWR, create_server, socket
from threading import Event, Thread

from cherrylane.membership.runners import Runner
from tests.builders import make_runner

Script = Callable[[socket, Event], None]


class ScriptedUpstream:
    """Listens on loopback and runs ``script`` on each connection; ``calls`` counts connections."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self._listener = create_server(("127.0.0.1", 0))
        self._closing = Event()
        self.calls = 0
        self.runner: Runner = make_runner("scripted", port=self._listener.getsockname()[1])
        Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._closing.set()
        self._listener.close()

    def _accept(self) -> None:
        while not self._closing.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.calls += 1
            Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket) -> None:
        with connection:
            connection.recv(65536)
            try:
                self._script(connection, self._closing)
                connection.shutdown(SHUT_RDWR)
            except OSError:
                pass


def send(*parts: bytes) -> Script:
    """Return a script that sends ``parts``, after which the connection is closed."""

    def script(connection: socket, _: Event) -> None:
        for part in parts:
            connection.sendall(part)

    return script


def send_then_hang(*parts: bytes) -> Script:
    """Return a script that sends ``parts`` and then leaves the connection open and silent."""

    def script(connection: socket, closing: Event) -> None:
        for part in parts:
            connection.sendall(part)
        closing.wait()

    return script
