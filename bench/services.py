"""The service that the benchmarks route to."""

from cherrylane.configuration.documents import BoundSettings, QueueSettings, Service, ServiceKind
from cherrylane.configuration.merging import SiteService

SERVICE = "drafting-llm"


def make_service(bound: BoundSettings, queue: QueueSettings) -> SiteService:
    """Return a model service with these settings."""
    service = Service(kind=ServiceKind.MODEL, bound=bound, queue=queue)
    return SiteService(name=SERVICE, site="s", service=service)
