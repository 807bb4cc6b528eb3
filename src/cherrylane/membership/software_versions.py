"""Which software versions of a service may have begun a stream that a caller takes up now.

What two versions of an upstream's software write does not fit together, so a stream goes on only at
the version that began it. Where only one version can have begun a stream, it need not be known
which host served it. A host that starts learns of earlier versions from its peers, or from the
platform's store if all hosts were down.
"""

from collections.abc import Iterable

from attrs import define, field

# Longest time, in seconds, from the beginning of a stream until its caller last takes it up.
STREAM_LIFETIME_S = 60.0


@define
class SoftwareVersions:
    """The versions of each service that were in use within ``STREAM_LIFETIME_S``.

    ``knows_all`` says whether the versions from before this host's start are known for all
    services. Times are in seconds of the loop's clock.

    Example::

        versions = SoftwareVersions(knows_all=True)
        versions.record_in_use("drafting", ["v1"], now=10.0)
        versions.record_in_use("drafting", ["v2"], now=20.0)
        versions.find_recent("drafting", now=21.0)  # {"v1", "v2"}
        versions.find_recent("drafting", now=71.0)  # {"v2"}
    """

    knows_all: bool = False
    _last_used_at: dict[str, dict[str, float]] = field(factory=dict)
    _known_services: set[str] = field(factory=set)

    def record_in_use(self, service: str, versions: Iterable[str], now: float) -> None:
        """Record the versions that a service has now, or had at the earlier time ``now``."""
        last_used_at = self._last_used_at.setdefault(service, {})
        for version in versions:
            last_used_at[version] = max(now, last_used_at.get(version, now))

    def record_stored(self, service: str, versions: Iterable[str], now: float) -> None:
        """Record the versions that the store names; when they were last in use is not known."""
        self.record_in_use(service, versions, now)
        self._known_services.add(service)

    def is_known(self, service: str) -> bool:
        """Return whether the service's versions from before this host's start are known."""
        return self.knows_all or service in self._known_services

    def find_recent(self, service: str, now: float) -> frozenset[str]:
        """Return the versions that may have begun a stream that is still taken up."""
        last_used_at = self._last_used_at.get(service, {})
        return frozenset(
            version for version, used_at in last_used_at.items() if _is_recent(used_at, now)
        )

    def is_mixed(self, service: str, now: float) -> bool:
        """Return whether it does not follow from the service which version began a stream."""
        return len(self.find_recent(service, now)) > 1

    def list_recent(self, now: float) -> dict[str, dict[str, float]]:
        """Return the versions of each service, with the seconds since their last use."""
        return {
            service: {
                version: now - used_at
                for version, used_at in last_used_at.items()
                if _is_recent(used_at, now)
            }
            for service, last_used_at in self._last_used_at.items()
        }

    def list_mixed(self, now: float) -> dict[str, dict[str, float]]:
        """Return what :meth:`list_recent` does, of services with several versions only."""
        recent = self.list_recent(now)
        return {service: ages for service, ages in recent.items() if len(ages) > 1}

    def list_services(self) -> list[str]:
        """Return the services with a version in memory."""
        return list(self._last_used_at)

    def forget_old(self, now: float) -> None:
        """Drop what is not recent any more; called at regular intervals."""
        for service, last_used_at in list(self._last_used_at.items()):
            kept = {key: at for key, at in last_used_at.items() if _is_recent(at, now)}
            self._last_used_at[service] = kept
            if not kept:
                del self._last_used_at[service]


def _is_recent(used_at: float, now: float) -> bool:
    return now - used_at <= STREAM_LIFETIME_S
