import asyncio

from testtools import ExpectedException, TestCase

from cherrylane.errors import (
    ConflictError,
    ObjectNotFoundError,
    PlatformBusyError,
    PlatformUnavailableError,
    WatchExpiredError,
)
from cherrylane.platform.client import AsyncPlatformClient
from cherrylane.platform.objects import Kind, PlatformObject
from cherrylane.settings.schema import PlatformSettings
from tests.cases import FleetCase
from tests.wire import LOOPBACK, Call, ScriptedUpstream, run


class AsyncPlatformClientTest(FleetCase):
    def setUp(self) -> None:
        super().setUp()
        self.fleet.start_platform()
        self.settings = PlatformSettings(url=self.fleet.platform_url, timeout_s=1.0)

    def test_writes_are_conditional_on_the_version(self) -> None:
        async def work() -> None:
            client = AsyncPlatformClient(self.settings)
            first = await client.create(PlatformObject(Kind.HOSTS, "a", {"zone": "1"}))
            with ExpectedException(ConflictError):
                await client.create(PlatformObject(Kind.HOSTS, "a", {"zone": "2"}))
            second = await client.update(PlatformObject(Kind.HOSTS, "a", {}, first.version))
            with ExpectedException(ConflictError):
                await client.update(PlatformObject(Kind.HOSTS, "a", {"zone": "3"}, first.version))
            with ExpectedException(ConflictError):
                await client.delete(Kind.HOSTS, "a", version=first.version)
            await client.delete(Kind.HOSTS, "a", version=second.version)
            with ExpectedException(ObjectNotFoundError):
                await client.get(Kind.HOSTS, "a")

        run(work())

    def test_all_pages_of_a_long_list_are_read(self) -> None:
        async def work() -> set[str]:
            client = AsyncPlatformClient(self.settings)
            names = [f"n{number:04d}" for number in range(700)]
            for start in range(0, len(names), 50):
                await asyncio.gather(
                    *(
                        client.create(PlatformObject(Kind.HOSTS, name, {}))
                        for name in names[start : start + 50]
                    )
                )
            listed = await client.list(Kind.HOSTS)
            return {item.name for item in listed.objects}

        self.assertEqual({f"n{number:04d}" for number in range(700)}, run(work()))

    def test_watch_returns_changes_and_deletions_of_its_kind(self) -> None:
        async def work() -> list[tuple[str, bool]]:
            client = AsyncPlatformClient(self.settings)
            version = (await client.list(Kind.HOSTS)).version
            stored = await client.create(PlatformObject(Kind.HOSTS, "a", {}))
            await client.create(PlatformObject(Kind.CLAIMS, "other", {}))
            await client.delete(Kind.HOSTS, "a", version=stored.version)
            changes = await client.watch(Kind.HOSTS, version, wait_s=5.0)
            return [(event.object.name, event.is_deleted) for event in changes.events]

        self.assertEqual([("a", False), ("a", True)], run(work()))

    def test_watch_from_a_compacted_version_expires(self) -> None:
        async def work() -> None:
            client = AsyncPlatformClient(self.settings)
            version = (await client.list(Kind.HOSTS)).version
            self.fleet.request("POST", f"{self.fleet.platform_url}/compact", {})
            with ExpectedException(WatchExpiredError):
                await client.watch(Kind.HOSTS, version, wait_s=5.0)

        run(work())

    def test_refused_call_raises_busy_error(self) -> None:
        for status in (503, 429):
            self.fleet.set_faults(refusal=status)
            with ExpectedException(PlatformBusyError):
                run(AsyncPlatformClient(self.settings).list(Kind.HOSTS))

    def test_call_to_a_silent_store_times_out(self) -> None:
        self.fleet.set_faults(silent=True)
        with ExpectedException(PlatformUnavailableError):
            run(AsyncPlatformClient(self.settings).list(Kind.HOSTS))

    def test_write_with_a_lost_response_may_have_taken_effect(self) -> None:
        async def work() -> PlatformObject:
            client = AsyncPlatformClient(self.settings)
            self.fleet.set_faults(lose_answers=1)
            with ExpectedException(PlatformUnavailableError):
                await client.create(PlatformObject(Kind.HOSTS, "a", {}))
            return await client.get(Kind.HOSTS, "a")

        self.assertEqual("a", run(work()).name)


class MalformedResponseTest(TestCase):
    def test_malformed_response_raises_a_typed_error(self) -> None:
        async def script(call: Call) -> None:
            call.answer(b"not json")

        async def work() -> None:
            store = await ScriptedUpstream(script).start()
            settings = PlatformSettings(url=f"http://{LOOPBACK}:{store.port}", timeout_s=1.0)
            await AsyncPlatformClient(settings).list(Kind.HOSTS)

        with ExpectedException(PlatformUnavailableError):
            run(work())

    def test_items_that_are_not_objects_are_skipped(self) -> None:
        async def script(call: Call) -> None:
            valid = b'{"metadata":{"name":"a","rev":3},"spec":1}'
            items = valid + b',7,{"metadata":null},{"metadata":{"name":1,"rev":"x"}}'
            call.answer(b'{"items":[' + items + b'],"more":false,"store_revision":4}')

        async def work() -> list[str]:
            store = await ScriptedUpstream(script).start()
            settings = PlatformSettings(url=f"http://{LOOPBACK}:{store.port}", timeout_s=1.0)
            listed = await AsyncPlatformClient(settings).list(Kind.HOSTS)
            return [item.name for item in listed.objects]

        self.assertEqual(["a"], run(work()))
