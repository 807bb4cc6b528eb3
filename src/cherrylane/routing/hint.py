"""Routing hints: signed tokens that name the engine where a chat ran last.

Callers return the hint of an answer with the next request of the chat. A hint only changes the
order in which engines are tried. A hint that is forged, expired, too long or signed with the key
of another firm is ignored.
"""

from collections import OrderedDict
from threading import Lock

from attrs import frozen
from itsdangerous import BadData, TimestampSigner

MAX_HINT_CHARACTERS = 256
MAX_HINT_AGE_S = 24 * 3600
MAX_RECENT_HINTS = 10_000
SALT = "cherrylane-hint"
SEPARATOR = "~"


@frozen
class Hint:
    """The engine where a chat ran last, and how many tokens of the chat it then had cached."""

    chat: int
    engine: str
    cached_tokens: int


class RecentHints:
    """A bounded cache of the latest hints of this host, for callers that return none.

    A host that has just become the home of a pool has no record of its chats. It gets them from the
    hints that the relaying hosts send with their admission requests.
    """

    def __init__(self, limit: int = MAX_RECENT_HINTS) -> None:
        self._limit = limit
        self._hints: OrderedDict[int, Hint] = OrderedDict()
        self._lock = Lock()

    def find(self, chat: int) -> Hint | None:
        """Return the hint of ``chat``, or None if it is not cached."""
        with self._lock:
            return self._hints.get(chat)

    def add(self, hint: Hint) -> None:
        """Cache ``hint``; at the limit, evict the hint that was added least recently."""
        with self._lock:
            self._hints[hint.chat] = hint
            self._hints.move_to_end(hint.chat)
            if len(self._hints) > self._limit:
                self._hints.popitem(last=False)


def sign_hint(hint: Hint, key: str) -> str:
    """Encode ``hint`` as a header value that is signed with the site's ``key``."""
    payload = SEPARATOR.join((f"{hint.chat:x}", hint.engine, str(hint.cached_tokens)))
    return TimestampSigner(key, salt=SALT).sign(payload).decode()


def read_hint(text: str, key: str, *, chat: int) -> Hint | None:
    """Verify and decode a header value.

    Returns None if it is malformed, expired, signed with another key or of another chat.
    """
    if not text or len(text) > MAX_HINT_CHARACTERS or not text.isascii():
        return None
    try:
        payload = TimestampSigner(key, salt=SALT).unsign(text, max_age=MAX_HINT_AGE_S).decode()
        chat_text, engine, tokens = payload.split(SEPARATOR)
        hint = Hint(chat=int(chat_text, 16), engine=engine, cached_tokens=int(tokens))
    except (BadData, ValueError):
        return None
    return hint if hint.chat == chat else None
