"""The faults of a soak that excuse what its processes do meanwhile."""

from attrs import define

# Seconds for which a request may suffer from a fault that has ended.
AFTERMATH_S = 0.5


@define
class Disturbance:
    """A fault of ``target``, with the value of its kind; ``ended`` is None while it lasts."""

    target: str
    kind: str
    began: float
    ended: float | None = None

    def overlaps(self, began: float, ended: float) -> bool:
        """Return whether it was there, or its effects were, between two times."""
        return self.began <= ended and (self.ended is None or began <= self.ended + AFTERMATH_S)
