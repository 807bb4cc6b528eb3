"""Counters, gauges and latency histograms of one process, in the Prometheus text format.

The text is rendered here and not by ``prometheus_client``, whose import takes 3.5 MB; the memory
budget of a process is 20 MB in total. Durations are kept in HDR histograms in microseconds.
"""

from collections import Counter
from collections.abc import Callable

from attrs import define, field
from hdrh.histogram import HdrHistogram

LOWEST_US = 1
# Longer durations are recorded as this value; no request takes longer.
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 1
QUANTILES = (50.0, 95.0, 99.0)
US_PER_S = 1_000_000
PREFIX = "cherrylane_"

Labels = tuple[tuple[str, str], ...]
Gauge = Callable[[], float]
GaugeFamily = Callable[[], dict[str, float]]


@define
class Telemetry:
    """The metrics of one process.

    Example::

        telemetry = Telemetry()
        telemetry.count("requests", kind="safe", outcome="answered")
        telemetry.observe("answer", 0.012, kind="safe")
        print(telemetry.render())
    """

    _counts: Counter[tuple[str, Labels]] = field(factory=Counter)
    _durations: dict[tuple[str, Labels], HdrHistogram] = field(factory=dict)
    _gauges: dict[str, Gauge] = field(factory=dict)
    _gauge_families: dict[tuple[str, str], GaugeFamily] = field(factory=dict)

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add ``amount`` to a counter."""
        self._counts[(name, tuple(labels.items()))] += amount  # type: ignore[assignment]

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a duration."""
        key = (name, tuple(labels.items()))
        histogram = self._durations.get(key)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self._durations[key] = histogram
        microseconds = int(seconds * US_PER_S)
        histogram.record_value(min(max(microseconds, LOWEST_US), HIGHEST_US))

    def add_gauge(self, name: str, read: Gauge) -> None:
        """Add a gauge whose value is read by ``read`` whenever the metrics are rendered."""
        self._gauges[name] = read

    def add_gauge_family(self, name: str, label: str, read: GaugeFamily) -> None:
        """Add gauges of one name, whose values by ``label`` are read by ``read``."""
        self._gauge_families[(name, label)] = read

    def read_count(self, name: str, **labels: str) -> float:
        """Return the value of a counter."""
        return self._counts[(name, tuple(labels.items()))]

    def render(self) -> str:
        """Return all metrics in the Prometheus text format, version 0.0.4."""
        lines = [
            f"{PREFIX}{name}_total{_format_labels(labels)} {value:g}"
            for (name, labels), value in sorted(self._counts.items())
        ]
        lines += [f"{PREFIX}{name} {read():g}" for name, read in sorted(self._gauges.items())]
        lines += [
            f"{PREFIX}{name}{_format_labels(((label, key),))} {value:g}"
            for (name, label), read_family in sorted(self._gauge_families.items())
            for key, value in read_family().items()
        ]
        for (name, labels), histogram in sorted(self._durations.items(), key=lambda item: item[0]):
            lines += _render_histogram(f"{PREFIX}{name}_seconds", labels, histogram)
        return "\n".join(lines) + "\n"


def _render_histogram(name: str, labels: Labels, histogram: HdrHistogram) -> list[str]:
    lines = []
    for quantile in QUANTILES:
        value = histogram.get_value_at_percentile(quantile) / US_PER_S
        quantile_labels = (*labels, ("quantile", f"{quantile / 100:g}"))
        lines.append(f"{name}{_format_labels(quantile_labels)} {value:g}")
    lines.append(f"{name}_count{_format_labels(labels)} {histogram.get_total_count()}")
    return lines


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    return "{" + ",".join(f'{name}="{_escape(value)}"' for name, value in labels) + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"')


def unescape_label(value: str) -> str:
    """Return the value of a label as it was before it was rendered."""
    return value.replace('\\"', '"').replace("\\\\", "\\")
