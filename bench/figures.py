"""Figures: what a benchmark measured, beside its baseline and its target."""

from collections.abc import Callable
from json import dumps
from math import nan
from pathlib import Path
from typing import Any

from attrs import asdict, frozen

RESULTS = Path(__file__).parent.parent / "bench-results.json"


@frozen
class Target:
    """A bound from the stated aim: ``value`` is the most, or the least when ``at_least``."""

    value: float
    at_least: bool = False

    def is_met(self, measured: float) -> bool:
        """Say whether ``measured`` meets the bound."""
        return measured >= self.value if self.at_least else measured <= self.value

    def __str__(self) -> str:
        return f"{'>=' if self.at_least else '<='} {self.value:g}"


@frozen
class Figure:
    """One measured value; ``baseline`` is the same quantity of another way in the same run.

    The target applies to the value, or to the ratio when ``target_on_ratio``.
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
        """The value over the baseline."""
        return self.value / self.baseline if self.baseline else nan

    @property
    def met(self) -> bool | None:
        """Whether the target is met, None where there is none."""
        if self.target is None:
            return None
        return self.target.is_met(self.ratio if self.target_on_ratio else self.value)

    def to_line(self) -> str:
        """Return the figure as one line of text."""
        parts = [f"{self.name:58} {self.value:12.4g} {self.unit:14}"]
        if self.baseline_name:
            parts.append(f"{self.baseline_name} {self.baseline:.4g}, ratio {self.ratio:.3f}")
        if self.target is not None:
            on = "ratio" if self.target_on_ratio else "value"
            parts.append(f"target {on} {self.target}: {'met' if self.met else 'NOT MET'}")
        return "  ".join(parts)

    def to_data(self) -> dict[str, Any]:
        """Return the figure as plain data."""
        data = asdict(self, recurse=False)
        data["target"] = None if self.target is None else str(self.target)
        return {**data, "ratio": self.ratio, "met": self.met}


Benchmark = Callable[[], list[Figure]]


def write_results(figures: list[Figure]) -> None:
    """Write all figures as JSON."""
    text = dumps([figure.to_data() for figure in figures], indent=1)
    RESULTS.write_text(text, encoding="utf-8")
