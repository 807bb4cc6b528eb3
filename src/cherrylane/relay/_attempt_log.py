"""The log lines of attempts at upstreams; docs/OPERATIONS.md describes their fields."""

import asyncio
from math import isfinite

from logbook import Logger

from cherrylane.limits.overload import Throughput
from cherrylane.placement.choice import Choice
from cherrylane.placement.speeds import USUAL_SPEED
from cherrylane.relay.crashes import identify_parts
from cherrylane.relay.outcomes import Outcome
from cherrylane.relay.request import CallerRequest
from cherrylane.relay.selection_failures import AllCold, AllEvacuated, Overloaded, RateLimited
from cherrylane.relay.state import AttemptRecord
from cherrylane.routing.snapshot import Snapshot

log = Logger("cherrylane.relay")


def log_choice(
    request: CallerRequest, attempt: int, last_event: str, choice: Choice, snapshot: Snapshot
) -> None:
    """Log the choice of an upstream for the attempt of this number, from 1.

    ``last_event`` is the id of the event after which a stream goes on.
    """
    now = asyncio.get_running_loop().time()
    log.info(
        "dispatch",
        extra={
            "request": request.id,
            "attempt": attempt,
            "upstream": choice.upstream.name,
            "software": choice.upstream.software,
            "last_event": last_event,
            "resumes": request.resumes,
            "reason": choice.reason,
            "load": choice.load.requests,
            "unread_tokens": choice.load.unread_tokens,
            "mean_load": round(choice.mean_load, 1),
            "cached_tokens": choice.cached_tokens,
            "shared_tokens": request.prompt.shared_tokens,
            "parts": identify_parts(request),
            "fingerprint": request.fingerprint,
            "cache_source": choice.cache_source.name if choice.cache_source else "",
            "config": snapshot.config_version,
            "upstreams": str(snapshot.upstreams_version),
            "upstreams_age_s": round(now - snapshot.upstreams_updated_at, 1),
            **({"speed": round(choice.speed, 2)} if choice.speed != USUAL_SPEED else {}),
        },
    )


def log_overload(
    request: CallerRequest,
    overload: Overloaded,
    throughput: Throughput,
    delay_s: float,
    snapshot: Snapshot,
) -> None:
    """Log that a request is refused for ``delay_s`` seconds, and by what measure."""
    log.info(
        "request refused: no upstream is expected to start it in time",
        extra={
            "request": request.id,
            "rank": request.rank,
            "target_ms": round(request.route.target_s * 1000),
            "waited_ms": round(request.waited_s * 1000),
            "upstreams": overload.upstreams,
            "least_load": overload.least_requests,
            "least_unread_tokens": overload.least_unread_tokens,
            "seconds_per_request": round(throughput.seconds_per_request, 3),
            "tokens_per_s": round(throughput.tokens_per_s),
            "retry_after_s": round(delay_s, 2),
            "config": snapshot.config_version,
            "upstreams_version": str(snapshot.upstreams_version),
        },
    )


def log_rate_limited(request: CallerRequest, limited: RateLimited, delay_s: float) -> None:
    """Log that a request is refused for ``delay_s`` seconds because of its upstreams' limits."""
    has_share = isfinite(limited.first_token_s)
    log.info(
        "request refused: the request limits of all upstreams are used up",
        extra={
            "request": request.id,
            "rank": request.rank,
            "first_token_s": round(limited.first_token_s, 2) if has_share else None,
            "retry_after_s": round(delay_s, 2),
        },
    )


def log_cold(request: CallerRequest, cold: AllCold, delay_s: float) -> None:
    """Log that a request is refused for ``delay_s`` seconds because all upstreams are cold."""
    has_share = isfinite(cold.first_token_s)
    log.info(
        "request refused: all upstreams are cold",
        extra={
            "request": request.id,
            "first_token_s": round(cold.first_token_s, 2) if has_share else None,
            "retry_after_s": round(delay_s, 2),
        },
    )


def log_evacuated(request: CallerRequest, evacuated: AllEvacuated, delay_s: float) -> None:
    """Log that a request is refused for ``delay_s`` seconds because of evacuations."""
    log.info(
        "request refused: all upstreams are in evacuated failure domains",
        extra={
            "request": request.id,
            "service": request.service,
            "domains": sorted(evacuated.domains),
            "retry_after_s": round(delay_s, 2),
        },
    )


def log_evacuations_unknown(request: CallerRequest) -> None:
    """Log that a request is refused because this host has not learned of evacuations yet."""
    log.info(
        "request refused: the evacuated failure domains are not known yet",
        extra={"request": request.id, "service": request.service},
    )


def log_unbound(request: CallerRequest, reason: str) -> None:
    """Log that a stream is not taken up, since it is not known which version began it."""
    log.info(
        "stream not taken up: the software version that began it is not known",
        extra={
            "request": request.id,
            "resumes": request.resumes,
            "last_event": request.resume_after,
            "route": request.route.name,
            "reason": reason,
        },
    )


def log_failed_attempt(
    request: CallerRequest, record: AttemptRecord, outcome: Outcome, has_started: bool
) -> None:
    """Log an attempt that gave no answer to pass on; ``has_started`` if a first event had come."""
    log.info(
        "attempt failed",
        extra={
            "request": request.id,
            "fingerprint": request.fingerprint,
            "upstream": record.upstream,
            "outcome": record.outcome,
            "reason": getattr(outcome, "reason", ""),
            "has_started": has_started,
            "ms": round(record.seconds * 1000, 1),
            **record.trace.to_fields(),
        },
    )


def log_fault(request: CallerRequest, upstream: str, error: Exception) -> None:
    """Log the exception being handled, which has ended an attempt while another one goes on."""
    log.exception(
        "attempt ended by a fault here",
        extra={
            "request": request.id,
            "upstream": upstream,
            "reason": f"{type(error).__name__}: {error}",
        },
    )


def log_stall(request: CallerRequest, upstream: str, *, is_tried_elsewhere: bool) -> None:
    """Log that an attempt makes no progress, and whether another one is started beside it."""
    log.info(
        "attempt stalled",
        extra={
            "request": request.id,
            "upstream": upstream,
            "tried_elsewhere": is_tried_elsewhere,
            "left_ms": round((request.deadline - asyncio.get_running_loop().time()) * 1000),
        },
    )


def log_backoff(upstream: str, seconds: float) -> None:
    """Log that an upstream wants no request from this host for a while."""
    log.info(
        "upstream asks to back off", extra={"upstream": upstream, "seconds": round(seconds, 3)}
    )


def log_malformed_load(upstream: str, text: str) -> None:
    """Log that the load which an upstream reports is ignored."""
    log.warning(
        "load of upstream ignored: it takes 3 figures, and a 4th from 1 to 10000 (percent)",
        extra={"upstream": upstream, "value": text},
    )
