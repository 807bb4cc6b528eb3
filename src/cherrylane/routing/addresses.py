"""The hosts that a caller should connect to, best first."""

from cherrylane.membership.roster import HostRecord
from cherrylane.routing.view import FleetView
from cherrylane.settings.schema import HostSettings


def rank_addresses(view: FleetView, own: HostSettings, *, service: str) -> list[HostRecord]:
    """Return the hosts for callers of ``service``: its homes, then this zone, then the rest.

    Hosts that are draining are left out, so that nobody new comes to them.
    """
    entry = view.services.get(service)
    site = entry.entry.site if entry is not None else own.site
    homes = {home.name for home in entry.homes.values()} if entry is not None else set()
    return sorted(
        view.roster.list_active(site),
        key=lambda host: (host.name not in homes, host.zone != own.zone, host.name),
    )
