"""Histories of concurrent runs, and the rules that they are checked against."""

from attrs import define, field, frozen


@frozen
class Call:
    """One request and its outcome.

    ``words`` is the text of the answer and ``expected`` the text of the correct one; ``execution``
    is the execution status in a refusal. A call without an answer has neither.
    """

    number: int
    key: str
    expected: str = ""
    words: str | None = None
    execution: str = ""
    status: int = 0

    @property
    def is_whole(self) -> bool:
        """Whether the complete answer to this request was received."""
        return self.words is not None and self.words == self.expected

    @property
    def is_answered(self) -> bool:
        """Whether a complete answer or a typed refusal was received."""
        return self.is_whole or self.execution in ("not_run", "outcome_unknown")


@define
class History:
    """The calls of a load, and how often each key was run by an upstream."""

    calls: list[Call] = field(factory=list)
    executions: dict[str, int] = field(factory=dict)


def find_breaches(history: History) -> list[str]:
    """Return every breach of at-most-once execution, and each wrong answer or false refusal."""
    breaches: list[str] = []
    for call in history.calls:
        runs = history.executions.get(call.key, 0)
        if runs > 1:
            breaches.append(f"call {call.number}: {call.key} was run {runs} times")
        if call.execution == "not_run" and runs and not _has_other_answer(history, call):
            breaches.append(f"call {call.number}: refused as not run, but {call.key} was run")
        if call.words is not None and not call.is_whole:
            breaches.append(
                f"call {call.number}: got {call.words[:40]!r} for {call.expected[:40]!r}"
            )
        if call.is_whole and call.key and not runs:
            breaches.append(f"call {call.number}: answered, but {call.key} was never run")
    return breaches


def _has_other_answer(history: History, refused: Call) -> bool:
    """A key may be run by another call than the one that was refused."""
    return any(
        call.key == refused.key and call is not refused and call.execution != "not_run"
        for call in history.calls
    )
