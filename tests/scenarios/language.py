"""The scenario language: its grammar, and the commands that scripts are parsed into.

Example of a script::

    start hosts hsinchu-1 hsinchu-2
    start engine drafting-1
    send 10 streams of 60 tokens through hsinchu-1 as load
    stop hsinchu-1
    expect load whole
    expect hsinchu-1 exited 0
"""

from enum import Enum
from typing import Any

from attrs import frozen
from lark import Lark, Transformer

GRAMMAR = r"""
start: (command _NL)+
command: "addresses" "last" INT "s"                                    -> set_address_lifetime
       | "start" "hosts" NAME+                                         -> start_hosts
       | "start" "engine" NAME                                         -> start_engine
       | "start" "plain" NAME                                          -> start_plain_service
       | "send" INT KIND ("of" INT "tokens")? "through" NAME "as" NAME -> send
       | ACTION NAME                                                   -> perform_action
       | "platform" PLATFORM                                           -> platform
       | "apply" "accounts" INT                                        -> apply_accounts
       | "wait" "until" NAME CONDITION                                 -> wait_until
       | "expect" NAME RESULT                                          -> expect_result
       | "expect" NAME "exited" INT                                    -> expect_exit
       | "expect" NAME "unmoved" "by" NAME                             -> expect_no_new_work
       | "expect" "generation" INT                                     -> expect_generation
KIND: "streams" | "chats" | "filings"
ACTION: "kill" | "freeze" | "thaw" | "stop" | "drain" | "leave"
PLATFORM: "down" | "up"
CONDITION: "serves" | "drains" | "leaves" | "runs"
RESULT: "whole" | "answered" | "refused" | "truthful"
NAME: /[a-z][a-z0-9-]*/
_NL: /(\r?\n[ \t]*(#[^\n]*)?)+/
%import common.INT
%import common.WS_INLINE
%ignore WS_INLINE
"""


class LoadKind(Enum):
    """The kind of requests that a load sends."""

    STREAMS = "streams"
    CHATS = "chats"
    FILINGS = "filings"


class Action(Enum):
    """An action on a process.

    ``stop`` sends SIGTERM and waits for the exit, ``drain`` sends SIGTERM only, and ``leave``
    changes an engine's state in its registration to leaving.
    """

    KILL = "kill"
    FREEZE = "freeze"
    THAW = "thaw"
    STOP = "stop"
    DRAIN = "drain"
    LEAVE = "leave"


class WaitCondition(Enum):
    """What a script can wait for."""

    SERVES = "serves"
    DRAINS = "drains"
    LEAVES = "leaves"
    RUNS = "runs"


class Expectation(Enum):
    """The expected result of a load.

    ``whole``: every request got its own complete response. ``answered``: every request got its own
    complete response or a typed error. ``refused``: every request was refused as not executed.
    ``truthful``: requests that were refused as not executed were not executed, and no request was
    executed twice.
    """

    WHOLE = "whole"
    ANSWERED = "answered"
    REFUSED = "refused"
    TRUTHFUL = "truthful"


@frozen
class SetAddressLifetime:
    """Set the lifetime of address responses, for hosts that start later."""

    seconds: int


@frozen
class StartHosts:
    """Start daemons and wait until they serve requests."""

    names: tuple[str, ...]


@frozen
class StartEngine:
    """Start an engine of the model service at tw-north."""

    name: str


@frozen
class StartPlainService:
    """Start a plain service with slow filings."""

    name: str


@frozen
class Send:
    """Start a load in the background."""

    count: int
    kind: LoadKind
    tokens: int
    host: str
    load: str


@frozen
class PerformAction:
    """Perform an action on a process."""

    action: Action
    name: str


@frozen
class SetPlatform:
    """Make the platform unavailable, or available again."""

    down: bool


@frozen
class ApplyAccounts:
    """Apply the overlay of tw-north with ``count`` additional accounts."""

    count: int


@frozen
class WaitUntil:
    """Wait until a host serves, drains or has left the roster, or until a load is running."""

    name: str
    condition: WaitCondition


@frozen
class ExpectResult:
    """Check the result of a load."""

    load: str
    expectation: Expectation


@frozen
class ExpectExit:
    """Check the exit code of a process."""

    name: str
    code: int


@frozen
class ExpectNoNewWork:
    """Check that an engine gets no new requests during a load."""

    engine: str
    load: str


@frozen
class ExpectGeneration:
    """Wait until every running host serves a generation, or a later one."""

    number: int


Command = (
    SetAddressLifetime
    | StartHosts
    | StartEngine
    | StartPlainService
    | Send
    | PerformAction
    | SetPlatform
    | ApplyAccounts
    | WaitUntil
    | ExpectResult
    | ExpectExit
    | ExpectNoNewWork
    | ExpectGeneration
)


class _Commands(Transformer[Any, list[Command]]):
    def start(self, commands: list[Command]) -> list[Command]:
        return commands

    def set_address_lifetime(self, parts: list[Any]) -> Command:
        return SetAddressLifetime(int(parts[0]))

    def start_hosts(self, names: list[Any]) -> Command:
        return StartHosts(tuple(str(name) for name in names))

    def start_engine(self, parts: list[Any]) -> Command:
        return StartEngine(str(parts[0]))

    def start_plain_service(self, parts: list[Any]) -> Command:
        return StartPlainService(str(parts[0]))

    def send(self, parts: list[Any]) -> Command:
        count, kind, *tokens, host, load = (str(part) for part in parts if part is not None)
        return Send(int(count), LoadKind(kind), int(tokens[0]) if tokens else 16, host, load)

    def perform_action(self, parts: list[Any]) -> Command:
        return PerformAction(Action(str(parts[0])), str(parts[1]))

    def platform(self, parts: list[Any]) -> Command:
        return SetPlatform(down=str(parts[0]) == "down")

    def apply_accounts(self, parts: list[Any]) -> Command:
        return ApplyAccounts(int(parts[0]))

    def wait_until(self, parts: list[Any]) -> Command:
        return WaitUntil(str(parts[0]), WaitCondition(str(parts[1])))

    def expect_result(self, parts: list[Any]) -> Command:
        return ExpectResult(str(parts[0]), Expectation(str(parts[1])))

    def expect_exit(self, parts: list[Any]) -> Command:
        return ExpectExit(str(parts[0]), int(parts[1]))

    def expect_no_new_work(self, parts: list[Any]) -> Command:
        return ExpectNoNewWork(str(parts[0]), str(parts[1]))

    def expect_generation(self, parts: list[Any]) -> Command:
        return ExpectGeneration(int(parts[0]))


_PARSER = Lark(GRAMMAR, parser="earley")


def parse_scenario(text: str) -> list[Command]:
    """Parse a script into commands; comments start with ``#``."""
    lines = [line.split("#", 1)[0].strip() for line in text.splitlines()]
    script = "\n".join(line for line in lines if line) + "\n"
    return _Commands().transform(_PARSER.parse(script))
