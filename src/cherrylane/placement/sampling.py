"""Estimate of the requests that peers have sent to an upstream and not reported yet.

In a large fleet a peer's report of its loads is as old as a sweep of heartbeats takes. While one
chat is asked for by very many callers, the load of its engine rises faster than reports arrive, and
every host chooses an engine that looks free to it. Callers choose hosts at random, so what a host
itself has sent to an upstream within the age of the reports is a sample of what all hosts have
sent. One request says little, so only those beside the first are scaled up.
"""

from collections import deque

from attrs import define, field


@define
class DispatchSample:
    """The times at which this host has sent requests to each upstream, in seconds.

    Example::

        sample.note("i-7", now=1.0)
        sample.note("i-7", now=1.2)
        sample.estimate_unseen("i-7", report_age_s=0.8, peers=72, now=1.5)  # 72
    """

    _sent_at: dict[str, deque[float]] = field(factory=dict)

    def note(self, upstream: str, now: float) -> None:
        """Record that a request is sent to an upstream."""
        self._sent_at.setdefault(upstream, deque()).append(now)

    def estimate_unseen(self, upstream: str, *, report_age_s: float, peers: int, now: float) -> int:
        """Return how many requests ``peers`` have likely sent within ``report_age_s``."""
        sent_at = self._sent_at.get(upstream)
        if sent_at is None:
            return 0
        while sent_at and now - sent_at[0] > report_age_s:
            sent_at.popleft()
        if not sent_at:
            del self._sent_at[upstream]
            return 0
        return (len(sent_at) - 1) * peers
