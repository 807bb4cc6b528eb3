"""The gauges that a gateway daemon exports; docs/OPERATIONS.md describes them."""

from collections.abc import Mapping

from cherrylane.gateway.routing_state import RoutingState
from cherrylane.http.connection_pool import ConnectionPool
from cherrylane.http.listener import InboundServer
from cherrylane.http.memory import MemoryAccount
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.telemetry.counters import Gauge, Telemetry


def add_gauges(telemetry: Telemetry, gauges: Mapping[str, Gauge]) -> None:
    """Export each gauge under its name."""
    for name, read in gauges.items():
        telemetry.add_gauge(name, read)


def find_state_gauges(routing_state: RoutingState, store: AsyncPlatformClient) -> dict[str, Gauge]:
    """Return the gauges of what this host knows of the platform."""
    return {
        "config_version": lambda: routing_state.snapshot.config_version,
        "upstreams_version": lambda: routing_state.snapshot.upstreams_version.revision,
        "ignored_upstream_entries": lambda: routing_state.ignored_count,
        "store_era": lambda: store.era or 0,
        "store_calls": lambda: store.calls,
    }


def find_work_gauges(
    callers: InboundServer, memory: MemoryAccount, pool: ConnectionPool
) -> dict[str, Gauge]:
    """Return the gauges of what this host does for callers."""
    return {
        "body_memory_bytes": lambda: memory.held_bytes,
        "caller_connections": lambda: len(callers.connections),
        "requests_in_work": lambda: callers.busy,
        "upstream_connections_opened": lambda: pool.opened,
    }
