"""Clients of the platform's object store for the commands."""

from argparse import Namespace

from cherrylane.configuration.store import ConfigurationStore
from cherrylane.platform.client import PlatformClient
from cherrylane.settings.schema import PlatformSettings


def open_client(arguments: Namespace) -> PlatformClient:
    """Return a client of the platform at the URL given by ``--platform``."""
    return PlatformClient(PlatformSettings(url=arguments.platform))


def open_store(arguments: Namespace) -> ConfigurationStore:
    """Return the configuration store of that platform."""
    return ConfigurationStore(open_client(arguments))
