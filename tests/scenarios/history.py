"""Histories of concurrent requests, and the rules that they are checked against."""

from attrs import define, field, frozen


@frozen
class Call:
    """A request and its response.

    ``text`` is the text of the response and ``expected`` the text of the correct one;
    ``execution`` is the ``execution`` field of an error. Without a response, ``text`` is None and
    ``execution`` is empty. ``key`` identifies the execution; it is empty for chats, whose
    executions are not counted.
    """

    number: int
    key: str
    expected: str = ""
    text: str | None = None
    execution: str = ""
    status: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether the complete response to this request was received."""
        return self.text is not None and self.text == self.expected

    @property
    def is_answered(self) -> bool:
        """Whether the complete response or a typed error was received."""
        return self.is_complete or self.execution in ("not_run", "outcome_unknown")


@define
class History:
    """The calls of a load, and the number of executions of each key by the upstreams."""

    calls: list[Call] = field(factory=list)
    executions: dict[str, int] = field(factory=dict)


def find_violations(history: History) -> list[str]:
    """Return a description of each violation of a rule.

    The rules: a key is executed at most once, a request that was refused as not run was not
    executed, a call gets its own and complete response, and a successful call was executed.
    """
    violations: list[str] = []
    for call in history.calls:
        executions = history.executions.get(call.key, 0)
        if executions > 1:
            violations.append(f"call {call.number}: {call.key} was executed {executions} times")
        if (
            call.execution == "not_run"
            and executions
            and not _may_have_run_elsewhere(history, call)
        ):
            violations.append(
                f"call {call.number}: refused as not run, but {call.key} was executed"
            )
        if call.text is not None and not call.is_complete:
            violations.append(
                f"call {call.number}: got {call.text[:40]!r}, expected {call.expected[:40]!r}"
            )
        if call.is_complete and call.key and not executions:
            violations.append(f"call {call.number}: succeeded, but {call.key} was never executed")
    return violations


def _may_have_run_elsewhere(history: History, refused: Call) -> bool:
    """Return whether another call may have executed the key of the refused one."""
    return any(
        call.key == refused.key and call is not refused and call.execution != "not_run"
        for call in history.calls
    )
