"""The check that streams of a soak hold events of one software version, over a caller's tries."""

from re import MULTILINE, findall

from soak.callers import Exchange


def check_streams(history: list[Exchange]) -> list[str]:
    """Check each stream together with what its caller got when it took the stream up."""
    versions: dict[str, set[bytes]] = {}
    for exchange in history:
        whole_events, _, _ = exchange.response.body.rpartition(b"\n\n")
        found = findall(rb"^data: \d+ (\w+)$", whole_events, MULTILINE)
        versions.setdefault(exchange.resumes or exchange.id, set()).update(found)
    return [
        f"{request_id}: the stream has events of the versions {sorted(found)}"
        for request_id, found in versions.items()
        if len(found) > 1
    ]
