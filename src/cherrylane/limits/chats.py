"""The home's memory of where chats ran, limited in size."""

from collections import OrderedDict

from attrs import frozen

MEMORY_LIMIT = 50_000


@frozen
class ChatPlace:
    """The engine a chat ran on last and the tokens of it that were left in the cache."""

    engine: str
    cached_tokens: int


class ChatMemory:
    """Remembers the most recent chats, the least recently used ones are forgotten."""

    def __init__(self, limit: int = MEMORY_LIMIT) -> None:
        self._limit = limit
        self._places: OrderedDict[int, ChatPlace] = OrderedDict()

    def __len__(self) -> int:
        return len(self._places)

    def find(self, chat: int) -> ChatPlace | None:
        """Return where ``chat`` ran last, or None when it is not known."""
        return self._places.get(chat)

    def remember(self, chat: int, place: ChatPlace) -> None:
        """Record that ``chat`` is at ``place`` now."""
        self._places[chat] = place
        self._places.move_to_end(chat)
        if len(self._places) > self._limit:
            self._places.popitem(last=False)

    def forget_engine(self, engine: str) -> None:
        """Forget every chat on ``engine``, whose cache is gone."""
        gone = [chat for chat, place in self._places.items() if place.engine == engine]
        for chat in gone:
            del self._places[chat]
