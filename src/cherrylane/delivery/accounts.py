"""What delivery needs to know of the client account that calls."""

from cherrylane.configuration.merging import SiteAccount, SiteService
from cherrylane.limits.work import AccountShare


def account_key(account: SiteAccount) -> str:
    """Return the name of an account that is unique in the fleet."""
    return f"{account.site}/{account.account.name}"


def may_use(account: SiteAccount, entry: SiteService) -> bool:
    """Say whether ``account`` may call the service."""
    return entry.service.shared or entry.site == account.site


def make_account_share(account: SiteAccount) -> AccountShare:
    """Return what admission needs to know of ``account``."""
    settings = account.account
    return AccountShare(
        name=account_key(account),
        weight=settings.weight,
        priority=settings.priority,
        max_concurrent=settings.max_concurrent,
    )
