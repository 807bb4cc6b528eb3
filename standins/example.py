"""The example fleet: small versions of both firms' sites."""

from standins.fleet import ROOT, EngineSpec, Fleet, HostSpec, PlainServiceSpec

HOSTS = (
    HostSpec("hsinchu-1", "tw-north", "hsinchu-a"),
    HostSpec("hsinchu-2", "tw-north", "taoyuan-b"),
    HostSpec("hsinchu-3", "tw-north", "taipei-c"),
    HostSpec("altamaha-1", "ga-south", "ga-south-a"),
    HostSpec("altamaha-2", "ga-south", "ga-south-b"),
    HostSpec("altamaha-3", "ga-south", "ga-south-c"),
)
ENGINES = (
    EngineSpec("drafting-1", "drafting-llm", "tw-north", "hsinchu-a", "drafting-8b"),
    EngineSpec("drafting-2", "drafting-llm", "tw-north", "taoyuan-b", "drafting-8b"),
    EngineSpec("drafting-3", "drafting-llm", "tw-north", "taipei-c", "drafting-8b"),
    EngineSpec("flitch-1", "cherrylane-pool", "ga-south", "ga-south-a", "flitch-8b"),
    EngineSpec("flitch-2", "cherrylane-pool", "ga-south", "ga-south-b", "flitch-8b"),
)
PLAIN_SERVICES = (
    PlainServiceSpec("cases-1", "case-service", "tw-north", "hsinchu-a"),
    PlainServiceSpec("bids-1", "bid-floor", "ga-south", "ga-south-a"),
)
DOCUMENTS = ("base.yaml", "tw-north.yaml", "ga-south.yaml")
UNION_KEY = "union-desk-example-key"
MILL_KEY = "mill-example-key"


def start_example(fleet: Fleet, hosts: tuple[HostSpec, ...] = HOSTS) -> None:
    """Start the example fleet with ``hosts`` and wait until every daemon serves requests."""
    fleet.start_platform()
    for engine in ENGINES:
        fleet.start_engine(engine)
    for service in PLAIN_SERVICES:
        fleet.start_plain_service(service)
    fleet.run_cli("apply", *(str(ROOT / "examples" / name) for name in DOCUMENTS))
    for host in hosts:
        fleet.start_daemon(host)
    fleet.wait_until_serving()
