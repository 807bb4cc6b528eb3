"""The settings file that the platform gives each process, with lines like ``a.b=value``."""

from collections.abc import Callable
from os import environ
from pathlib import Path
from typing import TypeVar

from cherrylane.errors import SettingsError
from cherrylane.fields import read_digits, read_number
from cherrylane.http.memory import DEFAULT_MEMORY_BYTES
from cherrylane.limits.cold.rules import ColdBounds
from cherrylane.settings.gateway import (
    FleetBounds,
    GatewaySettings,
    HostIdentity,
    ListenAddresses,
    RetryBounds,
    StoreSettings,
)
from cherrylane.settings.schema import Endpoint

BOOT_VARIABLE = "CHERRYLANE_BOOT"
DEFAULT_PATH = "/etc/cherrylane/boot.conf"
BYTES_PER_MEGABYTE = 1024 * 1024
MS_PER_S = 1000

T = TypeVar("T")


def find_boot_file() -> Path:
    """Return the path of this process's settings file."""
    return Path(environ.get(BOOT_VARIABLE, DEFAULT_PATH))


def read_boot_file(path: Path) -> GatewaySettings:
    """Read the settings; raises :class:`SettingsError` with the faulty field and the remedy."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"cannot read the settings file {path}: {error}",
            remedy=f"set {BOOT_VARIABLE} to the path of a readable UTF-8 file",
        ) from error
    return decode_boot_file(text)


def decode_boot_file(text: str) -> GatewaySettings:
    """Decode the text of a settings file.

    Raises :class:`SettingsError` with the faulty field and the remedy. Unknown fields are ignored,
    because later releases of the platform add fields.
    """
    fields = _Fields(text)
    return GatewaySettings(
        identity=HostIdentity(
            name=fields.read("node", str),
            address=fields.read("ip", str),
            zone=fields.read("zone", str),
            region=fields.read("region", str),
        ),
        zones=fields.read_table("zones."),
        listen=ListenAddresses(
            callers=fields.read("listen.front", _parse_endpoint),
            readiness=fields.read("listen.ready", _parse_endpoint),
            directory=fields.read("listen.directory", _parse_endpoint),
            peers=Endpoint(fields.read("ip", str), fields.read("port_range", _parse_first_port)),
        ),
        # The platform gives the control listeners of other hosts. Only their IP addresses are used,
        # since peers listen on the same ones.
        seeds=fields.read("seeds", _parse_seeds, default=()),
        store=StoreSettings(
            endpoint=fields.read("platform.address", _parse_endpoint),
        ),
        bounds=FleetBounds(
            grace_s=fields.read("bounds.grace_s", float),
            address_lifetime_s=fields.read("bounds.ttl_max_s", float, default=2.0),
            load_multiple=fields.read("bounds.cap_x", float, default=2.0),
            cold=_read_cold_bounds(fields),
            evacuate_s=fields.read_optional("bounds.evacuate_ms", _parse_milliseconds),
        ),
        retries=RetryBounds(
            share=fields.read("bounds.budget_ratio", float),
            window_s=fields.read("bounds.budget_window_s", float),
            slack=fields.read("bounds.budget_slack", float),
        ),
        memory_bytes=fields.read("limits.memory_mb", _parse_megabytes, DEFAULT_MEMORY_BYTES),
        max_descriptors=fields.read("limits.max_fds", read_digits, 0),
        is_first_start=fields.read("bootstrap", str, default="false") == "true",
    )


def _read_cold_bounds(fields: "_Fields") -> ColdBounds | None:
    """Return the bounds of what cold upstreams get, None unless both settings are there."""
    overage = fields.read_optional("bounds.cold_overage", _parse_number)
    slack = fields.read_optional("bounds.cold_slack", _parse_number)
    return None if overage is None or slack is None else ColdBounds(overage, slack)


class _Fields:
    def __init__(self, text: str) -> None:
        self._values: dict[str, str] = {}
        for number, line in enumerate(text.splitlines(), start=1):
            if not line.strip() or line.lstrip().startswith("#"):
                continue
            name, separator, value = line.partition("=")
            if not separator:
                raise SettingsError(
                    f"line {number} of the settings file is not of the form name=value",
                    remedy="write the line as name=value",
                )
            self._values[name.strip()] = value.strip()

    def read(self, name: str, parse: Callable[[str], T], default: T | None = None) -> T:
        value = self._values.get(name, "")
        if not value:
            if default is None:
                raise SettingsError(f"setting {name} is missing", remedy=f"add {name}=...")
            return default
        try:
            return parse(value)
        except ValueError as error:
            raise SettingsError(
                f"setting {name} has the value {value!r} ({error})", remedy=f"correct {name}"
            ) from error

    def read_optional(self, name: str, parse: Callable[[str], T]) -> T | None:
        return self.read(name, parse) if self._values.get(name) else None

    def read_table(self, prefix: str) -> dict[str, str]:
        return {
            name.removeprefix(prefix): value
            for name, value in self._values.items()
            if name.startswith(prefix)
        }


def _parse_endpoint(text: str) -> Endpoint:
    address, _, port = text.rpartition(":")
    if not address:
        raise ValueError("expected ADDRESS:PORT")
    return Endpoint(address, read_digits(port))


def _parse_number(text: str) -> float:
    return read_number(float(text))


def _parse_megabytes(text: str) -> int:
    return int(read_number(float(text)) * BYTES_PER_MEGABYTE)


def _parse_milliseconds(text: str) -> float:
    return read_number(float(text)) / MS_PER_S


def _parse_seeds(text: str) -> tuple[str, ...]:
    return tuple(_parse_endpoint(seed.strip()).address for seed in text.split(",") if seed.strip())


def _parse_first_port(text: str) -> int:
    return int(text.split(",")[0])
