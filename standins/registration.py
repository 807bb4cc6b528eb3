"""Registration of a simulated upstream in the platform's list of runners."""

from typing import Any

from aiohttp import ClientSession
from attrs import field, frozen

from standins.serving import LOOPBACK

RUNNERS_PATH = "/objects/runners"


@frozen
class Registration:
    """The registration of one upstream."""

    platform_url: str
    name: str
    service: str
    site: str
    zone: str
    weight: float = 1.0
    models: list[str] = field(factory=list)

    def to_object(self, port: int, state: str) -> dict[str, Any]:
        """Return the platform object that registers this upstream at ``port``."""
        spec = {
            "service": self.service,
            "site": self.site,
            "zone": self.zone,
            "address": LOOPBACK,
            "port": port,
            "state": state,
            "weight": self.weight,
            "models": self.models,
        }
        return {"metadata": {"name": self.name}, "spec": spec}

    async def add(self, port: int) -> None:
        """Register the upstream as live, replacing an existing registration of the same name."""
        url = self.platform_url + RUNNERS_PATH
        async with ClientSession() as session:
            response = await session.post(url, json=self.to_object(port, "live"))
            if response.status == 409:
                await session.put(f"{url}/{self.name}", json=self.to_object(port, "live"))

    async def mark_leaving(self, port: int) -> None:
        """Change the state of the registration to leaving."""
        url = f"{self.platform_url}{RUNNERS_PATH}/{self.name}"
        async with ClientSession() as session:
            await session.put(url, json=self.to_object(port, "leaving"))

    async def remove(self, port: int) -> None:
        """Delete the registration."""
        url = f"{self.platform_url}{RUNNERS_PATH}/{self.name}"
        async with ClientSession() as session:
            await session.delete(url)
