"""``cherrylane get``, ``status`` and ``explain``: queries of the platform and of hosts."""

from argparse import Namespace
from json import loads
from time import monotonic, sleep
from typing import Any
from urllib.parse import urlencode

from result import Err, Ok
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from cherrylane.cli.connection import open_client
from cherrylane.cli.evacuations import list_evacuations
from cherrylane.cli.output import OutputFormat, Table, print_table
from cherrylane.configuration.merging import FleetConfiguration
from cherrylane.configuration.store import ConfigurationStore
from cherrylane.errors import DECODING_ERRORS, ObjectNotFoundError, PlatformUnavailableError
from cherrylane.membership.roster import HostRecord, Roster, read_roster
from cherrylane.membership.runners import read_runners
from cherrylane.platform.client import PlatformClient
from cherrylane.platform.objects import Kind

# Timeout of a request to a host's operators' endpoint.
OPERATOR_TIMEOUT_S = 2.0
# Polling interval of ``status --wait`` while hosts load a new generation.
STATUS_POLL_S = 0.2
STATUS_HEADINGS = ("host", "site", "serving", "generation", "lease", "home_of", "load")
EXPLAIN_HEADINGS = ("pool", "home", "engine", "zone", "reason", "cached", "load", "within_bound")
EXPLAIN_NOTE = """
Pools are tried in this order. The home of a pool chooses the first engine within the load
bound: engines that have the chat cached come first, then the least loaded. If no engine is
within the bound, the least loaded engine receives the request."""

_http = PoolManager(retries=False)


def get_objects(arguments: Namespace) -> None:
    """List the configured or registered objects of one kind."""
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
        case "evacuations":
            table = list_evacuations(client, arguments.metrics_port)
        case _:
            table = _list_runners(client)
    print_table(table, arguments.output)


def show_status(arguments: Namespace) -> None:
    """Show the status of every host in the roster, and the evacuated failure domains.

    In JSON these are left out, since the hosts are the whole list; ``get evacuations`` prints them.
    With ``--wait``, polls until every host uses the generation in force; raises
    :class:`PlatformUnavailableError` if some do not before the wait ends.
    """
    client = open_client(arguments)
    deadline = monotonic() + arguments.wait
    while True:
        rows = [_make_status_row(host) for host in _list_roster_hosts(client)]
        outdated = _find_outdated_hosts(client, rows) if arguments.wait else []
        if not outdated or monotonic() >= deadline:
            break
        sleep(STATUS_POLL_S)
    print_table(Table(STATUS_HEADINGS, rows), arguments.output)
    if arguments.output is OutputFormat.TABLE:
        evacuations = list_evacuations(client, arguments.metrics_port)
        if evacuations.rows:
            print()
            print_table(evacuations, arguments.output)
    if outdated:
        raise PlatformUnavailableError(
            f"generation not in force after {arguments.wait:g} s on {', '.join(outdated)}",
            remedy="check the logs of these hosts or wait longer",
        )


def _find_outdated_hosts(client: PlatformClient, rows: list[tuple[Any, ...]]) -> list[str]:
    """Return the hosts in ``rows`` that do not use the generation in force."""
    number = ConfigurationStore(client).read_current_or_empty().number
    return [str(row[0]) for row in rows if row[3] != number]


def explain_chat(arguments: Namespace) -> None:
    """Show where a chat would be routed, and why."""
    query = urlencode(
        {"chat": arguments.chat, "account": arguments.account, "model": arguments.model}
    )
    answers = [
        _fetch_from_host(host, f"/explain?{query}")
        for host in _list_roster_hosts(open_client(arguments))
    ]
    received = [answer for answer in answers if answer is not None]
    if not received:
        raise PlatformUnavailableError("no host in the roster answered", remedy="start a daemon")
    if "error" in received[0]:
        raise ObjectNotFoundError(received[0]["error"]["message"], remedy="check the arguments")
    rows = [
        row
        for index in range(len(received[0]["pools"]))
        for row in _make_pool_rows(received, index)
    ]
    print_table(Table(EXPLAIN_HEADINGS, rows), arguments.output)
    if arguments.output is OutputFormat.TABLE:
        print(EXPLAIN_NOTE)


def _make_pool_rows(answers: list[dict[str, Any]], index: int) -> list[tuple[Any, ...]]:
    """Return a row for each engine of a pool, as reported by the pool's home.

    Returns one row without an engine if the home did not answer.
    """
    pools = [answer["pools"][index] for answer in answers if len(answer["pools"]) > index]
    reported = next((pool for pool in pools if pool["engines"] is not None), None)
    if reported is None:
        return [(pools[0]["pool"], pools[0]["home"], "", "", "", "", "", "")]
    return [
        (
            reported["pool"],
            reported["home"],
            engine["engine"],
            engine["zone"],
            engine["reason"],
            engine["cached_tokens"],
            round(engine["load"], 1),
            engine["takes_it"],
        )
        for engine in reported["engines"]
    ]


def _read_configuration(client: PlatformClient) -> FleetConfiguration:
    store = ConfigurationStore(client)
    generation = store.read_current()
    if generation is None:
        raise ObjectNotFoundError(
            "no configuration has been applied yet", remedy="run 'cherrylane apply' first"
        )
    match store.load(generation):
        case Ok(configuration):
            return configuration
        case Err(error):
            raise error


def _read_roster(client: PlatformClient) -> Roster:
    listed = client.list(Kind.HOSTS)
    return read_roster({item.name: item for item in listed.objects})


def _list_roster_hosts(client: PlatformClient) -> list[HostRecord]:
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


def _make_status_row(host: HostRecord) -> tuple[Any, ...]:
    status = _fetch_from_host(host, "/status")
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


def _fetch_from_host(host: HostRecord, path: str) -> dict[str, Any] | None:
    try:
        response = _http.request(
            "GET", f"http://{host.operators}{path}", timeout=Timeout(total=OPERATOR_TIMEOUT_S)
        )
        return dict(loads(response.data))
    except (HTTPError, OSError, *DECODING_ERRORS):
        return None
