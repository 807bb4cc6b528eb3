"""``cherrylane evacuate``, and what ``status`` and ``get`` show of evacuations."""

import re
from argparse import Namespace
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from sys import stderr

from urllib3 import PoolManager, Timeout
from urllib3.exceptions import HTTPError

from cherrylane.cli.connection import open_client
from cherrylane.cli.output import Table
from cherrylane.errors import (
    DECODING_ERRORS,
    ConflictError,
    ObjectNotFoundError,
    PlatformUnavailableError,
    SettingsError,
)
from cherrylane.fields import read_address
from cherrylane.membership.evacuations import select_usable
from cherrylane.platform.client import PlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.telemetry.counters import unescape_label

DEFAULT_METRICS_PORT = 9464
HEADINGS = ("domain", "held_by", "hosts")
# Timeout of a request for a host's metrics, and the number of hosts that are asked at once.
METRICS_TIMEOUT_S = 2.0
CONCURRENT_HOSTS = 32
MAX_METRICS_BYTES = 4 * 1024 * 1024
GAUGE = re.compile(r'^cherrylane_evacuated_domain\{domain="(.*)"\} 1$', re.MULTILINE)


def evacuate_domain(arguments: Namespace) -> None:
    """Evacuate a failure domain, or end its evacuation; a repeated command changes nothing."""
    client = open_client(arguments)
    domain = arguments.domain
    if not arguments.end and not select_usable([domain]):
        raise SettingsError(
            f"{domain!r} cannot be the name of a failure domain",
            remedy="give the zone of the upstreams as their entries have it",
        )
    try:
        if arguments.end:
            _end_evacuation(client, domain)
        else:
            _begin_evacuation(client, domain)
    except PlatformUnavailableError as error:
        raise PlatformUnavailableError(
            f"{error.problem}; it is unknown whether the change took effect",
            remedy="repeat the command",
        ) from error


def _begin_evacuation(client: PlatformClient, domain: str) -> None:
    try:
        client.create(PlatformObject(Kind.EVACUATIONS, domain, {}))
    except ConflictError:
        print(f"{domain} is evacuated already")
        return
    print(f"{domain} is evacuated; 'cherrylane status' shows how many hosts hold that")
    entries = (item.spec for item in client.list(Kind.UPSTREAMS).objects)
    if domain not in {entry.get("zone") for entry in entries if isinstance(entry, dict)}:
        print(f"note: no upstream is listed in failure domain {domain} now", file=stderr)


def _end_evacuation(client: PlatformClient, domain: str) -> None:
    try:
        client.delete(Kind.EVACUATIONS, domain, version=None)
    except ObjectNotFoundError as error:
        evacuated = ", ".join(_list_evacuated(client)) or "none"
        raise ObjectNotFoundError(
            f"failure domain {domain} is not evacuated", remedy=f"evacuated are: {evacuated}"
        ) from error
    print(f"the evacuation of {domain} has ended")


def list_evacuations(client: PlatformClient, metrics_port: int) -> Table:
    """Return the evacuated domains, and by how many of the registered hosts each is held.

    A host whose metrics cannot be read counts as one that does not hold any.
    """
    domains = _list_evacuated(client)
    if not domains:
        return Table(HEADINGS, [])
    hosts = client.list(Kind.ENTRY_HOSTS).objects
    with ThreadPoolExecutor(CONCURRENT_HOSTS) as executor:
        answers = executor.map(lambda host: _fetch_held(host, metrics_port), hosts)
        counts = Counter(domain for held in answers for domain in held)
    return Table(HEADINGS, [(domain, counts[domain], len(hosts)) for domain in domains])


def _list_evacuated(client: PlatformClient) -> list[str]:
    return sorted(item.name for item in client.list(Kind.EVACUATIONS).objects)


def _fetch_held(host: PlatformObject, metrics_port: int) -> set[str]:
    """Return the domains that a host holds as evacuated, by its metrics."""
    try:
        url = f"http://{read_address(host.spec['address'])}:{metrics_port}/metrics"
        with PoolManager(retries=False) as http:
            timeout = Timeout(total=METRICS_TIMEOUT_S)
            response = http.request("GET", url, timeout=timeout, preload_content=False)
            text = response.read(MAX_METRICS_BYTES).decode()
        return set(map(unescape_label, GAUGE.findall(text)))
    except (HTTPError, OSError, *DECODING_ERRORS):
        return set()
