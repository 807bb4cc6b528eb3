"""Merging of the base document and the overlays into the configuration used by daemons."""

from attrs import field, frozen
from result import Err, Ok, Result

from cherrylane.configuration.documents import (
    Base,
    ClientAccount,
    Overlay,
    Service,
    ServiceKind,
    ServiceOverlay,
)
from cherrylane.errors import SettingsError


@frozen
class SiteService:
    """A service with its name and the site it belongs to."""

    name: str
    site: str
    service: Service


@frozen
class SiteAccount:
    """A client account with the site it belongs to."""

    site: str
    account: ClientAccount


@frozen
class FleetConfiguration:
    """The merged and validated documents of one generation.

    ``sites`` maps each site to its firm, and ``hint_keys`` each site to its hint signing key.
    ``accounts_by_key`` is keyed by the SHA-256 digest of the API key.
    """

    generation: int
    sites: dict[str, str] = field(factory=dict)
    services: dict[str, SiteService] = field(factory=dict)
    accounts_by_key: dict[str, SiteAccount] = field(factory=dict, repr=False)
    hint_keys: dict[str, str] = field(factory=dict, repr=False)
    services_by_model: dict[str, SiteService] = field(factory=dict)


def merge_documents(
    base: Base, overlays: list[Overlay], *, generation: int
) -> Result[FleetConfiguration, SettingsError]:
    """Merge ``base`` and ``overlays`` into one configuration.

    Returns a :class:`SettingsError` that lists every problem found in the documents.
    """
    problems: list[str] = []
    merged = FleetConfiguration(
        generation=generation, sites={name: entry.firm for name, entry in base.sites.items()}
    )
    for overlay in overlays:
        _merge_overlay(merged, base, overlay, problems)
    if problems:
        return Err(
            SettingsError("; ".join(problems), remedy="fix the overlays and apply them again")
        )
    return Ok(merged)


def _merge_overlay(
    merged: FleetConfiguration, base: Base, overlay: Overlay, problems: list[str]
) -> None:
    if overlay.site not in base.sites:
        known = ", ".join(sorted(base.sites))
        problems.append(f"overlay {overlay.site}: unknown site, the base declares {known}")
        return
    merged.hint_keys[overlay.site] = overlay.hint_key
    for name, service_overlay in overlay.services.items():
        _merge_service(merged, base, overlay.site, name, service_overlay, problems)
    for account in overlay.accounts:
        _merge_account(merged, overlay.site, account, problems)


def _merge_service(
    merged: FleetConfiguration,
    base: Base,
    site: str,
    name: str,
    overlay: ServiceOverlay,
    problems: list[str],
) -> None:
    if name in merged.services:
        other = merged.services[name].site
        problems.append(f"overlay {site}: service {name} is already defined by site {other}")
        return
    site_service = SiteService(name=name, site=site, service=apply_base_defaults(base, overlay))
    merged.services[name] = site_service
    if overlay.kind is ServiceKind.MODEL and not overlay.models:
        problems.append(f"overlay {site}: model service {name} lists no models")
    for model in overlay.models:
        if model in merged.services_by_model:
            other = merged.services_by_model[model].name
            problems.append(f"overlay {site}: model {model} is already served by service {other}")
        merged.services_by_model[model] = site_service


def apply_base_defaults(base: Base, overlay: ServiceOverlay) -> Service:
    """Return the service of an overlay, with the base's settings where the overlay has none."""
    return Service(
        kind=overlay.kind,
        models=overlay.models,
        shared=overlay.shared,
        bound=overlay.bound or base.bound,
        queue=overlay.queue or base.queue,
        health=overlay.health or base.health,
        repeatable_methods=[method.upper() for method in overlay.repeatable_methods],
        expected_answer_tokens=overlay.expected_answer_tokens,
    )


def _merge_account(
    merged: FleetConfiguration, site: str, account: ClientAccount, problems: list[str]
) -> None:
    if account.key_sha256 in merged.accounts_by_key:
        other = merged.accounts_by_key[account.key_sha256].account.name
        problems.append(f"overlay {site}: accounts {account.name} and {other} share an API key")
    merged.accounts_by_key[account.key_sha256] = SiteAccount(site=site, account=account)
