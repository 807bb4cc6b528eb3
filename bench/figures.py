"""Benchmark figures: measured values with their baselines and targets."""

from collections.abc import Callable
from json import dumps
from math import nan
from pathlib import Path
from typing import Any

from attrs import asdict, frozen

RESULTS = Path(__file__).parent.parent / "bench-results.json"


@frozen
class Target:
    """A limit from the stated goals: ``value`` is the maximum, or the minimum if ``at_least``."""

    value: float
    at_least: bool = False

    def is_met(self, measured: float) -> bool:
        """Return whether ``measured`` keeps the limit."""
        return measured >= self.value if self.at_least else measured <= self.value

    def __str__(self) -> str:
        return f"{'>=' if self.at_least else '<='} {self.value:g}"


@frozen
class Figure:
    """A measured value, optionally with a baseline and a target.

    ``baseline`` is the same quantity for another implementation, measured in the same run. The
    target applies to the value, or to the ratio of value to baseline if ``target_on_ratio``.
    """

    name: str
    value: float
    unit: str
    baseline_name: str = ""
    baseline: float = nan
    target: Target | None = None
    target_on_ratio: bool = False

    @property
    def ratio(self) -> float:
        """The value divided by the baseline, NaN if there is no baseline or it is zero."""
        return self.value / self.baseline if self.baseline else nan

    @property
    def met(self) -> bool | None:
        """Whether the target is met, None if there is no target."""
        if self.target is None:
            return None
        return self.target.is_met(self.ratio if self.target_on_ratio else self.value)

    def to_line(self) -> str:
        """Format the figure as one line of text."""
        parts = [f"{self.name:58} {self.value:12.4g} {self.unit:14}"]
        if self.baseline_name:
            parts.append(f"{self.baseline_name} {self.baseline:.4g}, ratio {self.ratio:.3f}")
        if self.target is not None:
            on = "ratio" if self.target_on_ratio else "value"
            parts.append(f"target {on} {self.target}: {'met' if self.met else 'NOT MET'}")
        return "  ".join(parts)

    def to_data(self) -> dict[str, Any]:
        """Return the figure as a dictionary for JSON, with its ratio and whether it is met."""
        data = asdict(self, recurse=False)
        data["target"] = None if self.target is None else str(self.target)
        return {**data, "ratio": self.ratio, "met": self.met}


Benchmark = Callable[[], list[Figure]]


def write_results(figures: list[Figure]) -> None:
    """Write the figures to ``RESULTS`` as JSON."""
    text = dumps([figure.to_data() for figure in figures], indent=1)
    RESULTS.write_text(text, encoding="utf-8")
