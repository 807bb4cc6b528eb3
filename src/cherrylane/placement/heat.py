"""Estimate of how many requests of one chat all hosts send before they hear of each other's loads.

In a large fleet a peer's report of its loads is as old as a sweep of heartbeats takes. While one
chat is asked for by very many callers, all hosts would send it to the first engine that looks free,
and fill it before any of them knew. Callers choose hosts at random, so what a host itself gets of a
chat within a sweep is a sample of what all hosts get. One request says little, so only those beside
the first are scaled up.
"""

from collections import deque

from attrs import define, field


@define
class ChatHeat:
    """The times of this host's recent requests of each chat, in seconds.

    ``window_s`` is the time of a sweep, and ``peers`` the number of other hosts.

    Example::

        heat = ChatHeat(window_s=1.75, peers=72)
        heat.record("chat-7", now=1.0)  # 0
        heat.record("chat-7", now=1.2)  # 72
    """

    window_s: float = 0.0
    peers: int = 0
    _asked_at: dict[str, deque[float]] = field(factory=dict)

    def record(self, chat: str, now: float) -> int:
        """Record a request; returns how many the peers have likely got within the window."""
        asked_at = self._asked_at.setdefault(chat, deque())
        asked_at.append(now)
        while now - asked_at[0] > self.window_s:
            asked_at.popleft()
        return (len(asked_at) - 1) * self.peers

    def forget_old(self, now: float) -> None:
        """Drop the chats without a request in the window; called at regular intervals."""
        self._asked_at = {
            chat: asked_at
            for chat, asked_at in self._asked_at.items()
            if now - asked_at[-1] <= self.window_s
        }
