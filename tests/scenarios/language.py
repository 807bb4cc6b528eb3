"""The scenario language: its grammar, and the commands that a script becomes.

A script reads like the failure that it describes::

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
command: "addresses" "last" INT "s"                                    -> keep_addresses
       | "start" "hosts" NAME+                                         -> start_hosts
       | "start" "engine" NAME                                         -> start_engine
       | "start" "plain" NAME                                          -> start_plain
       | "send" INT KIND ("of" INT "tokens")? "through" NAME "as" NAME -> send
       | ACTION NAME                                                   -> act
       | "platform" PLATFORM                                           -> platform
       | "apply" "accounts" INT                                        -> apply_accounts
       | "wait" "until" NAME LOOK                                      -> wait_until
       | "expect" NAME RESULT                                          -> expect_result
       | "expect" NAME "exited" INT                                    -> expect_exit
       | "expect" NAME "unmoved" "by" NAME                             -> expect_unmoved
       | "expect" "generation" INT                                     -> expect_generation
KIND: "streams" | "chats" | "filings"
ACTION: "kill" | "freeze" | "thaw" | "stop" | "drain" | "leave"
PLATFORM: "down" | "up"
LOOK: "serves" | "drains" | "leaves" | "runs"
RESULT: "whole" | "answered" | "refused" | "truthful"
NAME: /[a-z][a-z0-9-]*/
_NL: /(\r?\n[ \t]*(#[^\n]*)?)+/
%import common.INT
%import common.WS_INLINE
%ignore WS_INLINE
"""


class Kind(Enum):
    """The kind of requests that a load consists of."""

    STREAMS = "streams"
    CHATS = "chats"
    FILINGS = "filings"


class Action(Enum):
    """An action on a process.

    ``drain`` sends the signal that ``stop`` sends, without waiting for the end; ``leave`` marks an
    engine as leaving on the platform's list.
    """

    KILL = "kill"
    FREEZE = "freeze"
    THAW = "thaw"
    STOP = "stop"
    DRAIN = "drain"
    LEAVE = "leave"


class AwaitedState(Enum):
    """The state that a scenario waits for."""

    SERVES = "serves"
    DRAINS = "drains"
    LEAVES = "leaves"
    RUNS = "runs"


class Expectation(Enum):
    """The required outcome of a load.

    ``whole``: every request got the complete answer to it. ``answered``: a complete answer or a
    typed refusal. ``refused``: every request was refused as not run. ``truthful``: what was refused
    as not run was not run, and nothing ran twice.
    """

    WHOLE = "whole"
    ANSWERED = "answered"
    REFUSED = "refused"
    TRUTHFUL = "truthful"


@frozen
class KeepAddresses:
    """Set the lifetime of address lists, for hosts that start later."""

    seconds: int


@frozen
class StartHosts:
    """Start daemons and wait until they serve."""

    names: tuple[str, ...]


@frozen
class StartEngine:
    """Start an engine of the first site's model service."""

    name: str


@frozen
class StartPlain:
    """Start a plain service whose filings are delayed."""

    name: str


@frozen
class Send:
    """Begin a load in the background."""

    count: int
    kind: Kind
    tokens: int
    host: str
    load: str


@frozen
class Act:
    """Perform an action on a process."""

    action: Action
    name: str


@frozen
class SetPlatform:
    """Stop the platform from responding, or let it respond again."""

    down: bool


@frozen
class ApplyAccounts:
    """Apply the first site's overlay with so many further accounts."""

    count: int


@frozen
class WaitUntil:
    """Wait until a host serves or has left, or until a load runs."""

    name: str
    state: AwaitedState


@frozen
class ExpectResult:
    """Check the outcome of a load."""

    load: str
    expectation: Expectation


@frozen
class ExpectExit:
    """Check how a process ended."""

    name: str
    code: int


@frozen
class ExpectUnmoved:
    """Check that an engine gets no new work from a load."""

    engine: str
    load: str


@frozen
class ExpectGeneration:
    """Check that every running host eventually serves by a generation."""

    number: int


Command = (
    KeepAddresses
    | StartHosts
    | StartEngine
    | StartPlain
    | Send
    | Act
    | SetPlatform
    | ApplyAccounts
    | WaitUntil
    | ExpectResult
    | ExpectExit
    | ExpectUnmoved
    | ExpectGeneration
)


class _Commands(Transformer[Any, list[Command]]):
    def start(self, commands: list[Command]) -> list[Command]:
        return commands

    def keep_addresses(self, parts: list[Any]) -> Command:
        return KeepAddresses(int(parts[0]))

    def start_hosts(self, names: list[Any]) -> Command:
        return StartHosts(tuple(str(name) for name in names))

    def start_engine(self, parts: list[Any]) -> Command:
        return StartEngine(str(parts[0]))

    def start_plain(self, parts: list[Any]) -> Command:
        return StartPlain(str(parts[0]))

    def send(self, parts: list[Any]) -> Command:
        count, kind, *tokens, host, load = (str(part) for part in parts if part is not None)
        return Send(int(count), Kind(kind), int(tokens[0]) if tokens else 16, host, load)

    def act(self, parts: list[Any]) -> Command:
        return Act(Action(str(parts[0])), str(parts[1]))

    def platform(self, parts: list[Any]) -> Command:
        return SetPlatform(down=str(parts[0]) == "down")

    def apply_accounts(self, parts: list[Any]) -> Command:
        return ApplyAccounts(int(parts[0]))

    def wait_until(self, parts: list[Any]) -> Command:
        return WaitUntil(str(parts[0]), AwaitedState(str(parts[1])))

    def expect_result(self, parts: list[Any]) -> Command:
        return ExpectResult(str(parts[0]), Expectation(str(parts[1])))

    def expect_exit(self, parts: list[Any]) -> Command:
        return ExpectExit(str(parts[0]), int(parts[1]))

    def expect_unmoved(self, parts: list[Any]) -> Command:
        return ExpectUnmoved(str(parts[0]), str(parts[1]))

    def expect_generation(self, parts: list[Any]) -> Command:
        return ExpectGeneration(int(parts[0]))


_PARSER = Lark(GRAMMAR, parser="earley")


def parse_scenario(text: str) -> list[Command]:
    """Return the commands of a script; comments begin with ``#``."""
    lines = [line.split("#", 1)[0].strip() for line in text.splitlines()]
    script = "\n".join(line for line in lines if line) + "\n"
    return _Commands().transform(_PARSER.parse(script))
