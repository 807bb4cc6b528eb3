import asyncio

from testtools import TestCase

from cherrylane.limits.crash_evidence import UpstreamCrash
from cherrylane.limits.quarantine import RequestQuarantine
from cherrylane.relay.crashes import (
    BEGINNING_S,
    MAX_PARTS,
    BrokenAttempt,
    CrashGuard,
    identify_parts,
)
from cherrylane.relay.request import Prompt, PromptPart
from cherrylane.routing.routes import Account
from cherrylane.routing.upstreams import Upstream, UpstreamState
from cherrylane.settings.schema import Endpoint
from tests.relay_fixture import STREAM
from tests.relay_fixture import succeed as answer
from tests.wire import ScriptedUpstream, make_request, run


def make_attempt(
    upstream: Upstream,
    *parts: str,
    sent_at: float = 0.0,
    answered_at: float | None = None,
) -> BrokenAttempt:
    prompt = Prompt("m", tuple(PromptPart(key, 10) for key in (*parts, "own")))
    return BrokenAttempt(make_request(STREAM, 0.0, prompt=prompt), upstream, sent_at, answered_at)


async def detect(*attempts: BrokenAttempt) -> list[UpstreamCrash]:
    """Return the crashes that are noted after these attempts broke."""
    crashes: list[UpstreamCrash] = []
    guard = CrashGuard(RequestQuarantine(), crashes.append)
    for attempt in attempts:
        guard.record_broken(attempt)
    for attempt in attempts:
        await guard.wait_for_probe(attempt.upstream)
    assert not guard._probes
    return crashes


class CrashGuardTest(TestCase):
    def test_an_upstream_that_refuses_connections_has_crashed(self) -> None:
        async def scenario() -> list[UpstreamCrash]:
            upstream = await ScriptedUpstream(answer).start()
            upstream.crash()
            known = upstream.to_upstream("i-1")
            return await detect(make_attempt(known, "a", "b"), make_attempt(known, "a", "c"))

        (crash,) = run(scenario())
        self.assertEqual("i-1", crash.upstream)
        whole = f"r:{make_request(STREAM, 0.0).fingerprint}"
        self.assertEqual(
            {("a", 0), ("b", 1), ("c", 1), (whole, 2)},
            {(suspect.part, suspect.depth) for suspect in crash.suspects},
        )

    # Guards against parts being refused because an upstream breaks single answers.
    def test_an_upstream_that_accepts_connections_has_not_crashed(self) -> None:
        async def scenario() -> list[UpstreamCrash]:
            upstream = await ScriptedUpstream(answer).start()
            return await detect(make_attempt(upstream.to_upstream("i-1"), "a", "b"))

        self.assertEqual([], run(scenario()))

    def test_requests_that_were_long_being_answered_are_no_suspects(self) -> None:
        async def scenario() -> list[UpstreamCrash]:
            upstream = await ScriptedUpstream(answer).start()
            upstream.crash()
            known = upstream.to_upstream("i-1")
            long_ago = asyncio.get_running_loop().time() - BEGINNING_S - 0.1
            return await detect(
                make_attempt(known, "a", answered_at=long_ago),
                make_attempt(known, answered_at=long_ago),
            )

        self.assertEqual([], run(scenario()))

    # Guards against whole requests crashing one upstream after the other (second1).
    def test_a_request_that_shares_no_part_is_a_suspect_as_a_whole(self) -> None:
        async def scenario() -> tuple[str, list[UpstreamCrash]]:
            upstream = await ScriptedUpstream(answer).start()
            upstream.crash()
            attempt = make_attempt(upstream.to_upstream("i-1"))
            return attempt.request.fingerprint, await detect(attempt, attempt)

        fingerprint, (crash,) = run(scenario())
        (suspect,) = crash.suspects
        self.assertEqual((f"r:{fingerprint}", 0), (suspect.part, suspect.depth))

    # Guards against heartbeats that callers make too long for a datagram.
    def test_long_keys_of_parts_are_hashed_and_few_parts_considered(self) -> None:
        upstream = Upstream("i", "s", Endpoint("10.0.0.1", 80), "a", 4, UpstreamState.READY)
        request = make_attempt(upstream, "a" * 32, "b" * 16_000, "b" * 16_001).request
        first, second, third = identify_parts(request)
        self.assertEqual(("a" * 32, 16, 16), (first, len(second), len(third)))
        self.assertNotEqual(second, third)
        # What a caller names like a whole request is none.
        (disguised,) = identify_parts(make_attempt(upstream, "r:07e2").request)
        self.assertEqual(16, len(disguised))
        many = make_attempt(upstream, *(f"{number}" for number in range(4000))).request
        self.assertEqual(MAX_PARTS, len(identify_parts(many)))

    def test_the_request_of_a_part_that_was_sent_last_counts(self) -> None:
        async def scenario() -> list[UpstreamCrash]:
            upstream = await ScriptedUpstream(answer).start()
            upstream.crash()
            known = upstream.to_upstream("i-1")
            now = asyncio.get_running_loop().time()
            attempts = [make_attempt(known, "a", sent_at=now - age) for age in (9.0, 2.0, 5.0)]
            return await detect(*attempts)

        (crash,) = run(scenario())
        self.assertAlmostEqual(2.0, crash.suspects[0].lead_s, places=1)


class FingerprintTest(TestCase):
    def make(self, **changes: object) -> str:
        account = Account("union", frozenset({"k"}))
        body = {"method": b"POST", "target": b"/x/1?q=1", "body": b"{}", "account": account}
        return make_request(STREAM, 0.0, **(body | changes)).fingerprint

    def test_a_repeat_has_the_same_fingerprint(self) -> None:
        host = (b"host", b"Desk.Example")
        repeat = self.make(id="2", headers=(host, (b"Attempt-Id", b"2")), caller_deadline=9.0)
        self.assertEqual(self.make(), repeat)

    def test_what_a_repeat_has_in_common_sets_other_requests_apart(self) -> None:
        others = [
            self.make(headers=((b"Host", b"other.example"),)),
            self.make(target=b"/x/1?q=2"),
            self.make(target=b"/x/1?q=1{}", body=b""),
            self.make(method=b"PUT"),
            self.make(account=None),
            self.make(account=Account("other", frozenset({"k"}))),
            self.make(body=b"{ }"),
            self.make(body=b"x" * 100_000),
        ]
        self.assertEqual(len(others), len(set(others) - {self.make()}))
        self.assertEqual({16}, {len(other) for other in others})
