"""``cherrylane get``, ``status`` and ``explain``."""

from argparse import Namespace
from json import JSONDecodeError, loads
from time import monotonic, sleep
from typing import Any
from urllib.parse import urlencode

from result import Err, Ok
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from cherrylane.cli.connection import open_client
from cherrylane.cli.output import OutputFormat, Table, print_table
from cherrylane.configuration.merging import FleetConfiguration
from cherrylane.configuration.store import ConfigurationStore
from cherrylane.errors import ObjectNotFoundError, PlatformUnavailableError
from cherrylane.membership.roster import HostRecord, Roster, read_roster
from cherrylane.membership.runners import read_runners
from cherrylane.platform.client import PlatformClient
from cherrylane.platform.objects import Kind

# Seconds that a host's answer may take.
OPERATOR_TIMEOUT_S = 2.0
# Seconds between looks while hosts take a generation over.
STATUS_POLL_S = 0.2
STATUS_HEADINGS = ("host", "site", "serving", "generation", "lease", "home_of", "load")
EXPLAIN_HEADINGS = ("pool", "home", "engine", "zone", "reason", "cached", "load", "within_bound")
EXPLAIN_NOTE = """
Pools are asked in this order. A pool's home takes the first engine within the load bound:
those that have the chat cached first, then the least loaded. When no engine is within the
bound, the least loaded one takes the request."""

_http = PoolManager(retries=False)


def get_objects(arguments: Namespace) -> None:
    """List what is configured or registered."""
    client = open_client(arguments)
    match arguments.what:
        case "sites":
            table = _list_sites(_read_configuration(client))
        case "services":
            table = _list_services(_read_configuration(client))
        case "accounts":
            table = _list_accounts(_read_configuration(client))
        case "hosts":
            table = _list_hosts(_read_roster(client))
        case _:
            table = _list_runners(client)
    print_table(table, arguments.output)


def show_status(arguments: Namespace) -> None:
    """Ask every host of the roster how it is, again and again if a wait is asked for.

    Raises :class:`PlatformUnavailableError` when the wait is over before every host serves by the
    generation in force.
    """
    client = open_client(arguments)
    deadline = monotonic() + arguments.wait
    while True:
        rows = [_status_row(host) for host in _hosts(client)]
        behind = _find_behind(client, rows) if arguments.wait else []
        if not behind or monotonic() >= deadline:
            break
        sleep(STATUS_POLL_S)
    print_table(Table(STATUS_HEADINGS, rows), arguments.output)
    if behind:
        raise PlatformUnavailableError(
            f"not in force after {arguments.wait:g} s at {', '.join(behind)}",
            remedy="look at the logs of these hosts, or wait longer",
        )


def _find_behind(client: PlatformClient, rows: list[tuple[Any, ...]]) -> list[str]:
    """Return the hosts that do not serve by the generation in force, as ``rows`` tell."""
    number = ConfigurationStore(client).read_current_or_empty().number
    return [str(row[0]) for row in rows if row[3] != number]


def explain_chat(arguments: Namespace) -> None:
    """Ask a host where a chat would go, and why."""
    query = urlencode(
        {"chat": arguments.chat, "account": arguments.account, "model": arguments.model}
    )
    answers = [_ask_host(host, f"/explain?{query}") for host in _hosts(open_client(arguments))]
    given = [answer for answer in answers if answer is not None]
    if not given:
        raise PlatformUnavailableError("no host of the roster answered", remedy="start a daemon")
    if "error" in given[0]:
        raise ObjectNotFoundError(given[0]["error"]["message"], remedy="check the arguments")
    rows = [row for index in range(len(given[0]["pools"])) for row in _explain(given, index)]
    print_table(Table(EXPLAIN_HEADINGS, rows), arguments.output)
    if arguments.output is OutputFormat.TABLE:
        print(EXPLAIN_NOTE)


def _explain(answers: list[dict[str, Any]], index: int) -> list[tuple[Any, ...]]:
    """Return the rows of one pool, as its home told them; one row without them if it did not."""
    pools = [answer["pools"][index] for answer in answers if len(answer["pools"]) > index]
    told = next((pool for pool in pools if pool["engines"] is not None), None)
    if told is None:
        return [(pools[0]["pool"], pools[0]["home"], "", "", "", "", "", "")]
    return [
        (
            told["pool"],
            told["home"],
            engine["engine"],
            engine["zone"],
            engine["reason"],
            engine["cached_tokens"],
            round(engine["load"], 1),
            engine["takes_it"],
        )
        for engine in told["engines"]
    ]


def _read_configuration(client: PlatformClient) -> FleetConfiguration:
    store = ConfigurationStore(client)
    generation = store.read_current()
    if generation is None:
        raise ObjectNotFoundError("no configuration yet", remedy="run 'cherrylane apply' first")
    match store.load(generation):
        case Ok(configuration):
            return configuration
        case Err(error):
            raise error


def _read_roster(client: PlatformClient) -> Roster:
    listed = client.list(Kind.HOSTS)
    return read_roster({item.name: item for item in listed.objects})


def _hosts(client: PlatformClient) -> list[HostRecord]:
    return sorted(_read_roster(client).hosts.values(), key=lambda host: (host.site, host.name))


def _list_sites(configuration: FleetConfiguration) -> Table:
    rows = [
        (name, firm, name in configuration.hint_keys)
        for name, firm in sorted(configuration.sites.items())
    ]
    return Table(("site", "firm", "overlay"), rows)


def _list_services(configuration: FleetConfiguration) -> Table:
    rows = [
        (
            entry.name,
            entry.site,
            entry.service.kind.value,
            entry.service.models,
            entry.service.bound.load_multiple,
            entry.service.shared,
        )
        for entry in sorted(configuration.services.values(), key=lambda entry: entry.name)
    ]
    return Table(("service", "site", "kind", "models", "load_multiple", "shared"), rows)


def _list_accounts(configuration: FleetConfiguration) -> Table:
    rows = [
        (entry.account.name, entry.site, entry.account.weight, entry.account.priority.value)
        for entry in configuration.accounts_by_key.values()
    ]
    return Table(("account", "site", "weight", "priority"), sorted(rows))


def _list_hosts(roster: Roster) -> Table:
    rows = [
        (host.name, host.site, host.zone, str(host.callers), host.draining)
        for host in sorted(roster.hosts.values(), key=lambda host: host.name)
    ]
    return Table(("host", "site", "zone", "callers", "draining"), rows)


def _list_runners(client: PlatformClient) -> Table:
    runners = read_runners({item.name: item for item in client.list(Kind.RUNNERS).objects})
    rows = [
        (runner.name, runner.service, runner.zone, runner.endpoint, runner.state.value)
        for runner in sorted(runners.values(), key=lambda runner: runner.name)
    ]
    return Table(("runner", "service", "zone", "endpoint", "state"), rows)


def _status_row(host: HostRecord) -> tuple[Any, ...]:
    status = _ask_host(host, "/status")
    if status is None:
        return (host.name, host.site, "no answer", "", "", "", "")
    load = sum(sum(loads.values()) for loads in status["loads"].values())
    return (
        host.name,
        host.site,
        status["serving"],
        status["generation"],
        status["lease_held"],
        status["home_of"],
        round(load, 1),
    )


def _ask_host(host: HostRecord, path: str) -> dict[str, Any] | None:
    try:
        response = _http.request(
            "GET", f"http://{host.operators}{path}", timeout=Timeout(total=OPERATOR_TIMEOUT_S)
        )
        return dict(loads(response.data))
    except (HTTPError, OSError, JSONDecodeError):
        return None
