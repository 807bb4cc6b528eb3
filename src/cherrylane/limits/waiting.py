"""Requests that wait for an engine, in an order that is fair between client accounts.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): each ask gets a start tag, the later of the
queue's virtual time and the finish tag of the account's previous ask; the smallest start tag goes
first. Interactive asks go before batch asks. When the queue is full the account that has the most
waiting for its weight loses its newest ask, so an account that surges pushes out only itself.
"""

from collections import deque
from collections.abc import Callable, Iterator

from attrs import define, field

from cherrylane.configuration.documents import Priority
from cherrylane.limits.work import AccountShare, Ask, Busy, Grant

TAGS_KEPT = 1000

Reply = Callable[[Grant | Busy], None]


@define(eq=False)
class Waiter:
    """One ask that waits, with where its answer goes and until when it may wait."""

    ask: Ask
    reply: Reply
    expires_at: float
    work: float
    start_tag: float = 0.0


@define
class AccountQueue:
    """One account's waiting asks, oldest first."""

    weight: float
    waiters: deque[Waiter] = field(factory=deque)


@define
class FairQueue:
    """All waiting asks of a pool."""

    virtual_time: float = 0.0
    size: int = 0
    _queues: dict[tuple[Priority, str], AccountQueue] = field(factory=dict)
    _finish_tags: dict[str, float] = field(factory=dict)

    def add(self, waiter: Waiter) -> None:
        """Put ``waiter`` behind the other asks of its account."""
        account = waiter.ask.account
        waiter.start_tag = self._tag(account, waiter.work)
        key = (account.priority, account.name)
        queue = self._queues.setdefault(key, AccountQueue(weight=account.weight))
        queue.waiters.append(waiter)
        self.size += 1

    def pass_by(self, account: AccountShare, work: float) -> None:
        """Count an ask that was served without waiting towards its account's share."""
        self.virtual_time = max(self.virtual_time, self._tag(account, work))
        if len(self._finish_tags) > TAGS_KEPT:
            self._forget_old_tags()

    def in_order(self) -> Iterator[Waiter]:
        """Yield the first waiter of each account in the order in which they are to be served."""
        for priority in (Priority.INTERACTIVE, Priority.BATCH):
            heads = [queue.waiters[0] for key, queue in self._queues.items() if key[0] is priority]
            yield from sorted(heads, key=lambda waiter: waiter.start_tag)

    def remove(self, waiter: Waiter, *, served: bool) -> None:
        """Take ``waiter`` out; ``served`` says that it was admitted."""
        key = (waiter.ask.account.priority, waiter.ask.account.name)
        queue = self._queues[key]
        queue.waiters.remove(waiter)
        self.size -= 1
        if not queue.waiters:
            del self._queues[key]
        if served:
            self.virtual_time = max(self.virtual_time, waiter.start_tag)
        if self.size == 0:
            self._forget_old_tags()

    def find_excess(self) -> Waiter:
        """Return the newest waiter of the account that has the most waiting for its weight."""
        longest = max(self._queues.values(), key=lambda queue: len(queue.waiters) / queue.weight)
        return longest.waiters[-1]

    def find_expired(self, now: float) -> list[Waiter]:
        """Return the waiters whose time is up."""
        return [
            waiter
            for queue in self._queues.values()
            for waiter in queue.waiters
            if waiter.expires_at <= now
        ]

    def find_holder(self, holder: str) -> list[Waiter]:
        """Return the waiters whose asks came from ``holder``."""
        return [waiter for waiter in self.all() if waiter.ask.holder == holder]

    def all(self) -> list[Waiter]:
        """Return every waiter."""
        return [waiter for queue in self._queues.values() for waiter in queue.waiters]

    def _tag(self, account: AccountShare, work: float) -> float:
        """Return the start tag of an account's next ask, and move its finish tag on."""
        start = max(self.virtual_time, self._finish_tags.get(account.name, 0.0))
        self._finish_tags[account.name] = start + work / account.weight
        return start

    def _forget_old_tags(self) -> None:
        self._finish_tags = {
            name: tag for name, tag in self._finish_tags.items() if tag > self.virtual_time
        }
