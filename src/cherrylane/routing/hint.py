"""The hint: a small signed note that a caller hands back, saying where its chat ran last.

A hint can only change the order in which engines are tried. One that is forged, too old, too long
or signed by another firm is ignored.
"""

from collections import OrderedDict
from threading import Lock

from attrs import frozen
from itsdangerous import BadData, TimestampSigner

MAX_HINT_CHARACTERS = 256
MAX_HINT_AGE_S = 24 * 3600
RECENT_LIMIT = 10_000
SALT = "cherrylane-hint"
SEPARATOR = "~"


@frozen
class Hint:
    """Where a chat ran last and how many tokens of its prefix were left in that engine's cache."""

    chat: int
    engine: str
    cached_tokens: int


class RecentHints:
    """The hints of the chats that this host served last, for callers who hand none back.

    A home that has just taken over knows no chats; the hosts that relayed them tell it this way.
    """

    def __init__(self, limit: int = RECENT_LIMIT) -> None:
        self._limit = limit
        self._hints: OrderedDict[int, Hint] = OrderedDict()
        self._lock = Lock()

    def find(self, chat: int) -> Hint | None:
        """Return the hint of ``chat``, None when it is not remembered."""
        with self._lock:
            return self._hints.get(chat)

    def add(self, hint: Hint) -> None:
        """Keep ``hint``, forgetting the oldest ones above the limit."""
        with self._lock:
            self._hints[hint.chat] = hint
            self._hints.move_to_end(hint.chat)
            if len(self._hints) > self._limit:
                self._hints.popitem(last=False)


def sign_hint(hint: Hint, key: str) -> str:
    """Return ``hint`` as a header value signed with the site's ``key``."""
    payload = SEPARATOR.join((f"{hint.chat:x}", hint.engine, str(hint.cached_tokens)))
    return TimestampSigner(key, salt=SALT).sign(payload).decode()


def read_hint(text: str, key: str, *, chat: int) -> Hint | None:
    """Return the hint in ``text``, or None when it is not a good one for ``chat``."""
    if not text or len(text) > MAX_HINT_CHARACTERS or not text.isascii():
        return None
    try:
        payload = TimestampSigner(key, salt=SALT).unsign(text, max_age=MAX_HINT_AGE_S).decode()
        chat_text, engine, tokens = payload.split(SEPARATOR)
        hint = Hint(chat=int(chat_text, 16), engine=engine, cached_tokens=int(tokens))
    except (BadData, ValueError):
        return None
    return hint if hint.chat == chat else None
