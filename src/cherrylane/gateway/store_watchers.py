"""The watchers by which each following host learns the configuration and the upstreams."""

from cherrylane.gateway.routing_state import RoutingState
from cherrylane.platform.async_watcher import AsyncWatcher
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind


def make_watchers(store: AsyncPlatformClient, routing_state: RoutingState) -> list[AsyncWatcher]:
    """Return the watchers of the configuration and of the upstreams, in this order."""
    return [
        AsyncWatcher(
            store,
            Kind.CONFIG,
            routing_state.apply_config_list,
            routing_state.apply_config_changes,
        ),
        AsyncWatcher(
            store,
            Kind.UPSTREAMS,
            routing_state.apply_upstream_list,
            routing_state.apply_upstream_changes,
        ),
    ]
