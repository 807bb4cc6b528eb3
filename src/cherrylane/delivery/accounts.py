"""Access checks and admission settings of the client account that sent a request."""

from cherrylane.configuration.merging import SiteAccount, SiteService
from cherrylane.limits.work import AccountShare


def account_key(account: SiteAccount) -> str:
    """Return the fleet-wide unique name of an account, ``<site>/<name>``."""
    return f"{account.site}/{account.account.name}"


def may_use(account: SiteAccount, entry: SiteService) -> bool:
    """Return whether ``account`` may call the service: it is shared, or of the same site."""
    return entry.service.shared or entry.site == account.site


def make_account_share(account: SiteAccount) -> AccountShare:
    """Return the name, weight, priority and concurrency limit that admission applies."""
    settings = account.account
    return AccountShare(
        name=account_key(account),
        weight=settings.weight,
        priority=settings.priority,
        max_concurrent=settings.max_concurrent,
    )
