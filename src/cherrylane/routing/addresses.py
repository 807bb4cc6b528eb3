"""Ranking of the hosts that callers may connect to."""

from cherrylane.membership.roster import HostRecord
from cherrylane.routing.view import FleetView
from cherrylane.settings.schema import HostSettings


def rank_addresses(view: FleetView, local: HostSettings, *, service: str) -> list[HostRecord]:
    """Return the hosts for callers of ``service``, best first.

    Homes of the service's pools come first, then hosts in the failure domain of ``local``, then all
    others; ties are ordered by name. Draining hosts are left out, so that no new callers connect to
    them.
    """
    service_view = view.services.get(service)
    site = service_view.entry.site if service_view is not None else local.site
    homes = (
        {home.name for home in service_view.homes.values()} if service_view is not None else set()
    )
    return sorted(
        view.roster.list_active(site),
        key=lambda host: (host.name not in homes, host.zone != local.zone, host.name),
    )
