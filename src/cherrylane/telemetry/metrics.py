"""Metrics of one daemon, in the Prometheus text format.

Durations are kept in HDR histograms (Gil Tene's HdrHistogram) in microseconds and exported in
seconds.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from threading import Lock

from hdrh.histogram import HdrHistogram
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, SummaryMetricFamily
from prometheus_client.metrics_core import Metric

from cherrylane.telemetry.traffic import TrafficCounter

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0)
MICROSECONDS_PER_SECOND = 1_000_000

LoadsReader = Callable[[], dict[str, dict[str, float]]]


class DurationHistogram:
    """Thread-safe histogram of durations, from which quantiles are computed."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
        self._sum_s = 0.0
        self._lock = Lock()

    def record(self, seconds: float) -> None:
        """Record one duration."""
        microseconds = int(seconds * MICROSECONDS_PER_SECOND)
        with self._lock:
            self._histogram.record_value(min(max(microseconds, LOWEST_US), HIGHEST_US))
            self._sum_s += seconds

    def quantile(self, percent: float) -> float:
        """Return the duration in seconds that ``percent`` % of the recorded ones do not exceed."""
        with self._lock:
            microseconds = self._histogram.get_value_at_percentile(percent)
        return float(microseconds) / MICROSECONDS_PER_SECOND

    @property
    def count(self) -> int:
        """The number of recorded durations."""
        return int(self._histogram.get_total_count())

    @property
    def sum_s(self) -> float:
        """The sum of all durations in seconds."""
        return self._sum_s


class Metrics:
    """The metrics of one daemon."""

    def __init__(self, traffic: TrafficCounter) -> None:
        self.traffic = traffic
        self.first_token = DurationHistogram()
        self.token_gap = DurationHistogram()
        self.decision = DurationHistogram()
        self._counts: Counter[tuple[str, str]] = Counter()
        self._lock = Lock()
        self._read_loads: LoadsReader = dict
        self._registry = CollectorRegistry()
        self._registry.register(_Collector(self))

    def set_loads_reader(self, read_loads: LoadsReader) -> None:
        """Set the function that returns the load of each engine, by service and engine."""
        self._read_loads = read_loads

    def count(self, name: str, label: str = "", amount: float = 1) -> None:
        """Add ``amount`` to a counter."""
        with self._lock:
            self._counts[(name, label)] += amount  # type: ignore[assignment]

    def value(self, name: str, label: str = "") -> float:
        """Return the value of a counter."""
        with self._lock:
            return self._counts[(name, label)]

    def render(self) -> bytes:
        """Return all metrics in the text format."""
        return generate_latest(self._registry)

    def collect(self) -> Iterable[Metric]:
        """Yield every metric family."""
        yield _make_summary_family("first_token", "time to the first token", self.first_token)
        yield _make_summary_family(
            "token_gap", "time between two events of a stream", self.token_gap
        )
        yield _make_summary_family("decision", "time to decide where a request goes", self.decision)
        yield from self._collect_counters()
        yield _make_traffic_family("sent", self.traffic.sent())
        yield _make_traffic_family("received", self.traffic.received())
        yield from self._collect_loads()

    def _collect_counters(self) -> Iterable[Metric]:
        with self._lock:
            counts = dict(self._counts)
        for name, (help_text, label_name) in COUNTERS.items():
            family = CounterMetricFamily(f"cherrylane_{name}", help_text, labels=[label_name])
            for (counter, label), value in sorted(counts.items()):
                if counter == name:
                    family.add_metric([label], value)
            yield family

    def _collect_loads(self) -> Iterable[Metric]:
        load = GaugeMetricFamily(
            "cherrylane_engine_load_tokens",
            "expected work on engines that this host is home of",
            labels=["service", "engine"],
        )
        skew = GaugeMetricFamily(
            "cherrylane_skew", "highest load over the mean, by service", labels=["service"]
        )
        for service, loads in sorted(self._read_loads().items()):
            for engine, value in sorted(loads.items()):
                load.add_metric([service, engine], value)
            mean = sum(loads.values()) / len(loads) if loads else 0.0
            if mean > 0.0:
                skew.add_metric([service], max(loads.values()) / mean)
        yield load
        yield skew


COUNTERS = {
    "requests": ("requests taken, by service", "service"),
    "answers": ("whole answers given, by service", "service"),
    "refusals": ("refusals, by kind", "kind"),
    "retries": ("further attempts after a failed one, by service", "service"),
    "prompt_tokens": ("prompt tokens sent to engines, by service", "service"),
    "cached_tokens": ("prompt tokens found in engines' caches, by service", "service"),
    "dropped_answers": ("upstream answers dropped, by reason", "reason"),
}


class _Collector:
    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterable[Metric]:
        return self._metrics.collect()


def _make_summary_family(name: str, help_text: str, histogram: DurationHistogram) -> Metric:
    family = SummaryMetricFamily(
        f"cherrylane_{name}_seconds",
        help_text,
        count_value=histogram.count,
        sum_value=histogram.sum_s,
    )
    for percent in QUANTILES:
        labels = {"quantile": f"{percent / 100:g}"}
        family.add_sample(f"cherrylane_{name}_seconds", labels, histogram.quantile(percent))
    return family


def _make_traffic_family(direction: str, sizes: dict[str, int]) -> Metric:
    family = CounterMetricFamily(
        f"cherrylane_control_bytes_{direction}", f"control bytes {direction}", labels=["kind"]
    )
    for kind, size in sorted(sizes.items()):
        family.add_metric([kind], size)
    return family
