"""Conversion between cherrylane's values and gRPC messages."""

from cherrylane.configuration.documents import Priority
from cherrylane.idempotency.claims import Claim, ClaimAnswer, ClaimOutcome, ClaimRequest
from cherrylane.limits.caches import CachedChat
from cherrylane.limits.work import (
    AccountShare,
    AdmissionRefusal,
    AdmissionRequest,
    Grant,
    GrantOutcome,
)
from cherrylane.peer import peer_pb2 as wire
from cherrylane.routing.homes import PoolKey

HomeReply = Grant | AdmissionRefusal | ClaimAnswer


def pool_to_wire(pool: PoolKey) -> wire.Pool:
    """Return ``pool`` as a message."""
    return wire.Pool(service=pool.service, number=pool.number)


def pool_from_wire(message: wire.Pool) -> PoolKey:
    """Return the key of the pool in ``message``."""
    return PoolKey(service=message.service, number=message.number)


def admission_request_to_wire(request: AdmissionRequest) -> wire.Ask:
    """Return ``request`` as a message; its holder is known from the stream."""
    return wire.Ask(
        id=request.id,
        pool=pool_to_wire(request.pool),
        account=request.account.name,
        account_weight=request.account.weight,
        batch=request.account.priority is Priority.BATCH,
        max_concurrent=request.account.max_concurrent,
        chat=request.chat,
        model=request.model,
        prompt_tokens=request.prompt_tokens,
        answer_tokens=request.answer_tokens,
        hinted=request.hinted,
        hinted_tokens=request.hinted_tokens,
        excluded=request.excluded,
        zone=request.zone,
        wait_s=request.wait_s,
        refuse_at_once=not request.may_wait,
        may_round=request.may_exceed_bound,
    )


def admission_request_from_wire(message: wire.Ask, holder: str) -> AdmissionRequest:
    """Return the admission request that ``holder`` sent."""
    account = AccountShare(
        name=message.account,
        weight=message.account_weight,
        priority=Priority.BATCH if message.batch else Priority.INTERACTIVE,
        max_concurrent=message.max_concurrent,
    )
    return AdmissionRequest(
        id=message.id,
        holder=holder,
        pool=pool_from_wire(message.pool),
        account=account,
        chat=message.chat,
        model=message.model,
        prompt_tokens=message.prompt_tokens,
        answer_tokens=message.answer_tokens,
        hinted=message.hinted,
        hinted_tokens=message.hinted_tokens,
        excluded=tuple(message.excluded),
        zone=message.zone,
        wait_s=message.wait_s,
        may_wait=not message.refuse_at_once,
        may_exceed_bound=message.may_round,
    )


def grant_to_wire(grant: Grant) -> wire.Grant:
    """Return ``grant`` as a message."""
    return wire.Grant(
        id=grant.id,
        pool=pool_to_wire(grant.pool),
        engine=grant.engine,
        account=grant.account,
        work=grant.work,
        cached_tokens=grant.cached_tokens,
        reason=grant.reason,
    )


def grant_from_wire(message: wire.Grant, holder: str) -> Grant:
    """Return the grant to ``holder``."""
    return Grant(
        id=message.id,
        holder=holder,
        pool=pool_from_wire(message.pool),
        engine=message.engine,
        account=message.account,
        work=message.work,
        cached=CachedChat(message.engine, message.cached_tokens) if message.cached_tokens else None,
        reason=message.reason,
    )


def admission_refusal_to_wire(refusal: AdmissionRefusal) -> wire.Busy:
    """Return ``refusal`` as a message."""
    return wire.Busy(
        id=refusal.id,
        code=refusal.code,
        message=refusal.message,
        retry_after_s=refusal.retry_after_s,
        least_load=refusal.least_load,
    )


def admission_refusal_from_wire(message: wire.Busy) -> AdmissionRefusal:
    """Return the home's reply that refuses admission."""
    return AdmissionRefusal(
        id=message.id,
        code=message.code,
        message=message.message,
        retry_after_s=message.retry_after_s,
        least_load=message.least_load,
    )


def claim_to_wire(request: ClaimRequest) -> wire.ToHome:
    """Return a claim request as a message."""
    claim = wire.Claim(
        id=request.id,
        site=request.site,
        key=request.claim.key,
        claimant=request.claim.claimant,
        digest=request.claim.digest,
        withdraw=request.withdraw,
    )
    return wire.ToHome(claim=claim)


def claim_from_wire(message: wire.Claim) -> ClaimRequest:
    """Return the claim request in ``message``."""
    claim = Claim(key=message.key, claimant=message.claimant, digest=message.digest)
    return ClaimRequest(id=message.id, site=message.site, claim=claim, withdraw=message.withdraw)


def reply_to_wire(reply: HomeReply) -> wire.FromHome:
    """Return a home's reply as a message."""
    match reply:
        case ClaimAnswer():
            answer = wire.ClaimAnswer(id=reply.id, outcome=reply.outcome.value)
            return wire.FromHome(claim_answer=answer)
        case Grant():
            return wire.FromHome(grant=grant_to_wire(reply))
        case AdmissionRefusal():
            return wire.FromHome(busy=admission_refusal_to_wire(reply))


def reply_from_wire(message: wire.FromHome, holder: str) -> HomeReply:
    """Return the home's reply to ``holder``."""
    match message.WhichOneof("body"):
        case "grant":
            return grant_from_wire(message.grant, holder)
        case "claim_answer":
            answer = message.claim_answer
            return ClaimAnswer(answer.id, ClaimOutcome(answer.outcome))
        case _:
            return admission_refusal_from_wire(message.busy)


def holdings_to_wire(pool: PoolKey, grants: list[Grant]) -> wire.ToHome:
    """Return the list of this host's grants of ``pool`` as a message."""
    grant_messages = [grant_to_wire(grant) for grant in grants]
    return wire.ToHome(holdings=wire.Holdings(pool=pool_to_wire(pool), grants=grant_messages))


def release_to_wire(grant: Grant, outcome: GrantOutcome) -> wire.ToHome:
    """Return the release of ``grant``, with its outcome, as a message."""
    release = wire.Release(
        pool=pool_to_wire(grant.pool),
        id=grant.id,
        found_tokens=outcome.found_tokens,
        unreachable=outcome.unreachable,
        failed=outcome.failed,
    )
    return wire.ToHome(release=release)


def outcome_from_wire(message: wire.Release) -> GrantOutcome:
    """Return the outcome of a grant, as reported with its release."""
    return GrantOutcome(
        found_tokens=message.found_tokens if message.HasField("found_tokens") else None,
        unreachable=message.unreachable,
        failed=message.failed,
    )
