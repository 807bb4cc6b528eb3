from pathlib import Path

from result import Err
from testtools import TestCase
from testtools.matchers import Contains

from cherrylane.configuration.documents import Overlay
from cherrylane.settings.documents import parse_document, read_document
from cherrylane.settings.schema import DaemonSettings, PeerSettings

EXAMPLES = Path(__file__).parent.parent / "examples"


def read_error(text: str, cls: type) -> str:
    return str(parse_document(text, cls, source="x.yaml").unwrap_err())


class DocumentsTest(TestCase):
    def test_example_settings_are_valid(self) -> None:
        settings = read_document(EXAMPLES / "host.yaml", DaemonSettings).unwrap()
        self.assertEqual("hsinchu-1", settings.host.name)

    def test_every_problem_is_reported_with_file_key_and_allowed_values(self) -> None:
        text = """
            host: {name: h1, site: s, zone: 3}
            callers: {listen: {address: 127.0.0.1, port: 99999}, thread: 8}
            operators: {listen: {address: 127.0.0.1}}
            peers: {listen: {address: 127.0.0.1}, shared_key: a-key-that-is-long}
            log: {format: xml}
        """
        problem = read_error(text, DaemonSettings)
        self.assertThat(problem, Contains("x.yaml: host.zone: found 3, expected a string"))
        self.assertThat(problem, Contains("callers.listen: found"))
        self.assertThat(problem, Contains("unknown key thread, allowed are listen, threads"))
        self.assertThat(problem, Contains("platform: required key is missing"))
        self.assertThat(problem, Contains("found 'xml', expected one of json, text"))

    def test_secrets_do_not_appear_in_errors(self) -> None:
        problem = read_error("site: tw-north\nhint_key: short-secret", Overlay)
        self.assertNotIn("short-secret", problem)

    def test_a_lease_that_outlasts_the_suspicion_timeout_is_refused(self) -> None:
        """A paused home whose lease is too long admits requests after its removal from the roster.

        The defaults once allowed this.
        """
        settings = read_document(EXAMPLES / "host.yaml", DaemonSettings).unwrap()
        self.assertTrue(settings.peers.lease_s < settings.peers.suspect_after_s)
        text = """
            listen: {address: 127.0.0.1}
            shared_key: a-key-that-is-long
            suspect_after_s: 2.0
            lease_s: 3.0
        """
        self.assertThat(read_error(text, PeerSettings), Contains("must be at most 1.5"))

    def test_documents_other_than_mappings_are_refused(self) -> None:
        for text in ("", "- 1", "just text", "a: [", "\x00"):
            self.assertIsInstance(parse_document(text, Overlay, source="x"), Err)

    def test_a_missing_file_is_a_settings_error(self) -> None:
        problem = read_document(Path("no-such-file.yaml"), DaemonSettings).unwrap_err()
        self.assertThat(str(problem), Contains("give the path of a readable UTF-8 file"))
