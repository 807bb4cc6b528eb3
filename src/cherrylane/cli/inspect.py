"""``cherrylane get``, ``status`` and ``explain``."""

from argparse import Namespace
from json import JSONDecodeError, loads
from typing import Any
from urllib.parse import urlencode

from result import Err, Ok
from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from cherrylane.cli.output import OutputFormat, Table, print_table
from cherrylane.configuration.merging import FleetConfiguration
from cherrylane.configuration.store import ConfigurationStore
from cherrylane.errors import ObjectNotFoundError, PlatformUnavailableError
from cherrylane.membership.roster import HostRecord, Roster, read_roster
from cherrylane.membership.runners import read_runners
from cherrylane.platform.client import PlatformClient
from cherrylane.platform.objects import Kind
from cherrylane.settings.schema import PlatformSettings

OPERATOR_TIMEOUT_S = 2.0

_http = PoolManager(retries=False)


def get_objects(arguments: Namespace) -> None:
    """List what is configured or registered."""
    client = _connect(arguments)
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
    """Ask every host of the roster how it is."""
    rows = [_status_row(host) for host in _hosts(_connect(arguments))]
    headings = ("host", "site", "serving", "generation", "lease", "home_of", "load")
    print_table(Table(headings, rows), arguments.output)


def explain_chat(arguments: Namespace) -> None:
    """Ask a host where a chat would go, and why."""
    query = urlencode(
        {"chat": arguments.chat, "account": arguments.account, "model": arguments.model}
    )
    for host in _hosts(_connect(arguments)):
        answer = _ask_host(host, f"/explain?{query}")
        if answer is None:
            continue
        if "error" in answer:
            raise ObjectNotFoundError(answer["error"]["message"], remedy="check the arguments")
        rows = [
            (item["rank"], item["engine"], item["zone"], item["home"]) for item in answer["order"]
        ]
        print_table(Table(("rank", "engine", "zone", "home"), rows), arguments.output)
        if arguments.output is OutputFormat.TABLE:
            print(f"\n{answer['reason']}")
        return
    raise PlatformUnavailableError("no host of the roster answered", remedy="start a daemon")


def _connect(arguments: Namespace) -> PlatformClient:
    return PlatformClient(PlatformSettings(url=arguments.platform))


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
