"""A queue of requests that wait for an engine, fair between client accounts.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): each request gets a start tag, the later of
the queue's virtual time and the finish tag of the account's previous request; the smallest start
tag is served first. Interactive requests precede batch requests. When the queue overflows, the
account with the most waiting requests per weight loses its newest request, so a burst from one
account evicts only that account's requests.
"""

from collections import deque
from collections.abc import Callable, Iterator

from attrs import define, field

from cherrylane.configuration.documents import Priority
from cherrylane.limits.work import AccountShare, AdmissionRefusal, AdmissionRequest, Grant

# Number of finish tags above which those of idle accounts are dropped.
MAX_FINISH_TAGS = 1000

Reply = Callable[[Grant | AdmissionRefusal], None]


@define(eq=False)
class Waiter:
    """A waiting request, the callback for its answer, and the time at which its wait expires."""

    request: AdmissionRequest
    reply: Reply
    expires_at: float
    work: float
    start_tag: float = 0.0


@define
class AccountQueue:
    """The waiting requests of one account and priority, oldest first."""

    weight: float
    waiters: deque[Waiter] = field(factory=deque)


@define
class FairQueue:
    """The waiting requests of a pool."""

    virtual_time: float = 0.0
    size: int = 0
    _queues: dict[tuple[Priority, str], AccountQueue] = field(factory=dict)
    _finish_tags: dict[str, float] = field(factory=dict)

    def add(self, waiter: Waiter) -> None:
        """Append ``waiter`` to the queue of its account."""
        account = waiter.request.account
        waiter.start_tag = self._assign_start_tag(account, waiter.work)
        key = (account.priority, account.name)
        queue = self._queues.setdefault(key, AccountQueue(weight=account.weight))
        queue.waiters.append(waiter)
        self.size += 1

    def charge(self, account: AccountShare, work: float) -> None:
        """Charge an account for a request that was admitted without waiting."""
        self.virtual_time = max(self.virtual_time, self._assign_start_tag(account, work))
        if len(self._finish_tags) > MAX_FINISH_TAGS:
            self._drop_old_tags()

    def in_order(self) -> Iterator[Waiter]:
        """Yield the first waiter of each account, in the order of service."""
        for priority in (Priority.INTERACTIVE, Priority.BATCH):
            heads = [queue.waiters[0] for key, queue in self._queues.items() if key[0] is priority]
            yield from sorted(heads, key=lambda waiter: waiter.start_tag)

    def remove(self, waiter: Waiter, *, served: bool) -> None:
        """Remove ``waiter``; ``served`` says whether it was admitted."""
        key = (waiter.request.account.priority, waiter.request.account.name)
        queue = self._queues[key]
        queue.waiters.remove(waiter)
        self.size -= 1
        if not queue.waiters:
            del self._queues[key]
        if served:
            self.virtual_time = max(self.virtual_time, waiter.start_tag)
        if self.size == 0:
            self._drop_old_tags()

    def find_excess(self) -> Waiter:
        """Return the newest waiter of the account with the most waiters per weight."""
        longest = max(self._queues.values(), key=lambda queue: len(queue.waiters) / queue.weight)
        return longest.waiters[-1]

    def find_expired(self, now: float) -> list[Waiter]:
        """Return the waiters whose wait has expired."""
        return [
            waiter
            for queue in self._queues.values()
            for waiter in queue.waiters
            if waiter.expires_at <= now
        ]

    def find_by_holder(self, holder: str) -> list[Waiter]:
        """Return the waiters whose requests came from ``holder``."""
        return [waiter for waiter in self.all() if waiter.request.holder == holder]

    def find_by_reply(self, reply: Reply) -> list[Waiter]:
        """Return the waiters that are answered by ``reply``, which is one for each link."""
        return [waiter for waiter in self.all() if waiter.reply is reply]

    def all(self) -> list[Waiter]:
        """Return every waiter."""
        return [waiter for queue in self._queues.values() for waiter in queue.waiters]

    def _assign_start_tag(self, account: AccountShare, work: float) -> float:
        """Return the start tag of an account's next request and advance its finish tag."""
        start = max(self.virtual_time, self._finish_tags.get(account.name, 0.0))
        self._finish_tags[account.name] = start + work / account.weight
        return start

    def _drop_old_tags(self) -> None:
        self._finish_tags = {
            name: tag for name, tag in self._finish_tags.items() if tag > self.virtual_time
        }
