"""Versions of the store's data, which order an era before a revision.

A store that comes back from an older copy has lost its latest writes and gives out their revisions
again, so a revision alone does not say which of two states is newer. The store's era rises with
each such restoration.
"""

from attrs import frozen


@frozen(order=True)
class StoreVersion:
    """A revision of the store within an era.

    Example::

        StoreVersion(era=2, revision=40) > StoreVersion(era=1, revision=57)  # True
    """

    era: int = 0
    revision: int = 0

    def __str__(self) -> str:
        return f"{self.era}:{self.revision}"


# Older than any version that the store gives out.
NO_VERSION = StoreVersion()
