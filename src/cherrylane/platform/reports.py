"""What an upstream reports of itself when it is asked."""

from json import loads

from cherrylane.errors import DECODING_ERRORS, UpstreamError
from cherrylane.fields import read_count

REPORT_PATH = b"/report"
HEALTH_PATH = b"/health"


def decode_incarnation(body: bytes) -> int | None:
    """Return the incarnation in a report, None if it has none.

    Raises :class:`UpstreamError` if the report is malformed.
    """
    try:
        born = loads(body).get("born")
        return None if born is None else read_count(born)
    except DECODING_ERRORS as error:
        raise UpstreamError(
            f"malformed report of an upstream ({type(error).__name__}: {error})",
            remedy="none needed; the platform's list is used instead",
            sent=True,
        ) from error
