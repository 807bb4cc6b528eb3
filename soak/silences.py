"""Silences of sound upstreams, which go on with their answers after a second or two."""

from random import Random

from attrs import define, field, frozen

# Share of requests at which a sound upstream falls silent, and for how long, in seconds.
SILENT_SHARE = 0.06
SILENCE_S = (1.0, 2.0)
# Share of these requests that any other upstream refuses meanwhile.
REFUSED_SHARE = 0.5
# Events of a stream before the silence: none, not even the head; the head alone; three events.
# Other answers are silent before or after their head.
PLACES = (None, 0, 3)


@frozen
class Silence:
    """A silence of ``upstream`` in its answer to a request, which was sound otherwise.

    ``after_events`` is None if even the head of the response comes after it.
    """

    request_id: str
    upstream: str
    seconds: float
    after_events: int | None
    is_refused_elsewhere: bool


@define
class Silences:
    """The silences of all upstreams of a soak, drawn from its seed and the id of each request."""

    seed: int
    by_request: dict[str, Silence] = field(factory=dict)

    def draw(self, request_id: str, upstream: str) -> Silence | None:
        """Return how ``upstream`` falls silent; only the first one of a request does so."""
        random = Random(f"{self.seed} {request_id}")
        if random.random() >= SILENT_SHARE or request_id in self.by_request:
            return None
        silence = Silence(
            request_id,
            upstream,
            random.uniform(*SILENCE_S),
            random.choice(PLACES),
            random.random() < REFUSED_SHARE,
        )
        self.by_request[request_id] = silence
        return silence

    def is_refused(self, request_id: str, upstream: str) -> bool:
        """Return whether ``upstream`` refuses a request at which another one is silent."""
        silence = self.by_request.get(request_id)
        return silence is not None and silence.is_refused_elsewhere and silence.upstream != upstream
