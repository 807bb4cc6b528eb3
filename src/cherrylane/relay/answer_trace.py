"""What an attempt has read from its upstream, for the log."""

from typing import Any

from attrs import define

# Characters of a signature that are logged; they tell the answers of two runs apart.
MAX_SIGNATURE_CHARACTERS = 24
# Skipped answers of an attempt that are described; all of them are counted.
MAX_DESCRIBED = 4


@define
class AnswerTrace:
    """The answers that an attempt has read.

    ``attempt`` is its number, from 1. ``exchange`` is the number of its exchange on the connection:
    1 on a new one, 0 if nothing was sent. ``status`` and ``signature`` are those of the last answer
    that was not skipped, ``described`` the statuses and ids of the first ``skipped`` answers.
    """

    attempt: int = 1
    exchange: int = 0
    status: int = 0
    signature: str = ""
    skipped: int = 0
    described: tuple[str, ...] = ()

    def record_skipped(self, status: int, answered_id: str) -> None:
        """Record an answer that was read before the one to the request."""
        self.skipped += 1
        if len(self.described) < MAX_DESCRIBED:
            self.described += (f"{status} {answered_id}",)

    def record_answer(self, status: int, signature: str) -> None:
        """Record the answer after which the attempt awaits no other one."""
        self.status = status
        self.signature = signature[:MAX_SIGNATURE_CHARACTERS]

    def to_fields(self) -> dict[str, Any]:
        """Return the fields of a log line; what was skipped is there only if there is any."""
        fields: dict[str, Any] = {
            "attempt": self.attempt,
            "exchange": self.exchange,
            "answered_status": self.status,
            "signature": self.signature,
        }
        if self.skipped:
            fields |= {"skipped": self.skipped, "skipped_answers": list(self.described)}
        return fields
