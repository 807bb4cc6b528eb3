"""Whether an upstream is still the incarnation that is listed.

An upstream may start again under its name, with another version of its software, before the list
shows it. That does not matter to new requests, but a stream goes on only at its own version.
"""

from collections.abc import Callable

from logbook import Logger

from cherrylane.errors import ConnectError, IncompleteResponseError, UpstreamError
from cherrylane.gateway.calls import call
from cherrylane.http.limits import ResponseLimits
from cherrylane.platform.reports import REPORT_PATH, decode_incarnation
from cherrylane.routing.upstreams import Upstream

# Time limit of the question, in seconds; an attempt at the upstream follows.
REPORT_TIMEOUT_S = 0.3
REPORT_LIMITS = ResponseLimits(max_body_bytes=256 * 1024)

log = Logger("cherrylane.relay")


async def is_listed_incarnation(
    upstream: Upstream, may_send_to: Callable[[Upstream], bool] = lambda upstream: True
) -> bool:
    """Ask an upstream; returns False if it is another incarnation, or does not answer.

    ``may_send_to`` says whether it can be asked, also after the time that a connection takes.
    One that answers, but reports no incarnation, is taken for the one that is listed.
    """
    if not upstream.incarnation:
        return True
    try:
        body = await call(
            upstream.endpoint,
            REPORT_PATH,
            timeout_s=REPORT_TIMEOUT_S,
            may_send=lambda: may_send_to(upstream),
            limits=REPORT_LIMITS,
        )
        incarnation = decode_incarnation(body)
    except (ConnectError, IncompleteResponseError, TimeoutError) as error:
        _log_no_report(upstream, error)
        return False
    except UpstreamError as error:
        _log_no_report(upstream, error)
        return True
    return incarnation in (None, upstream.incarnation)


def _log_no_report(upstream: Upstream, error: Exception) -> None:
    reason = f"{type(error).__name__}: {error}"
    log.info("upstream does not report", extra={"upstream": upstream.name, "reason": reason})
