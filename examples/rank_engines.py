"""Shows how rendezvous hashing assigns chats to engines and moves few when an engine leaves.

Run it with::

    python -m examples.rank_engines
"""

from cherrylane.routing.rendezvous import RendezvousTable, hash_text

CHATS = 10_000


def main() -> None:
    """Print how many chats are assigned to another engine when one of six leaves."""
    engines = [f"drafting-{number}" for number in range(1, 7)]
    before = RendezvousTable(engines)
    after = RendezvousTable(engines[:-1])
    keys = [hash_text(f"union-desk\ncase-{number}") for number in range(CHATS)]
    moved = sum(before.rank(key, 1) != after.rank(key, 1) for key in keys)
    ranking = before.rank(hash_text("union-desk\ncase-117"), 3)
    print(f"case-117 prefers these engines, best first: {ranking}")
    print(f"{moved} of {CHATS} chats change their engine when {engines[-1]} leaves")


if __name__ == "__main__":
    main()
