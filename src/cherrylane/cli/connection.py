"""Connections of the commands to the platform's store."""

from argparse import Namespace

from cherrylane.configuration.store import ConfigurationStore
from cherrylane.platform.client import PlatformClient
from cherrylane.settings.schema import PlatformSettings


def connect(arguments: Namespace) -> PlatformClient:
    """Return a client of the store that ``--platform`` names."""
    return PlatformClient(PlatformSettings(url=arguments.platform))


def open_store(arguments: Namespace) -> ConfigurationStore:
    """Return the configurations in that store."""
    return ConfigurationStore(connect(arguments))
