"""Serves a write outside a transaction at the primary, at most once."""

from __future__ import annotations

import asyncio

from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.logs import log_decision
from ebonyrack.core.logs import log_failure
from ebonyrack.members.link import ReplyTimeoutError
from ebonyrack.members.member import Member
from ebonyrack.pooling.upstream_lost import UpstreamLostError
from ebonyrack.requests.reply import RejectionKind
from ebonyrack.requests.reply import Reply
from ebonyrack.serving.statement import Statement
from ebonyrack.serving.statement import send_committing_request
from ebonyrack.serving.statement import set_up_session

# Attempts at a write that was not run; a group that needs more is failing.
MAXIMUM_ATTEMPTS = 8
# Pause before the second attempt; each later pause is twice as long.
RETRY_PAUSE_S = 0.01


async def serve_write(statement: Statement) -> Reply:
    """Run a write at the primary, at most once.

    Only a write that certainly was not run is retried.

    Args:
        statement: The write.

    Returns:
        The reply, without a rejection.

    Raises:
        RequestError: If it was not run, failed, or its outcome is not known.
    """
    reason = ""
    for attempt in range(MAXIMUM_ATTEMPTS):
        if attempt > 0:
            await asyncio.sleep(RETRY_PAUSE_S * 2.0 ** (attempt - 1))
        statement.check_deadline(was_sent=False)
        member = await statement.group.wait_for_primary(statement.deadline_s)
        reply = await try_primary(statement, member)
        if isinstance(reply, str):
            reason = reply
            continue
        if reply.rejection is None:
            is_late = statement.elapsed_s > statement.route.target_latency_s
            log = log_failure if is_late else log_decision
            log(
                "write_late" if is_late else "write_acknowledged",
                request=statement.request.log_id,
                group=statement.group.name,
                upstream=member.member_id,
                position=str(reply.position),
                tries=attempt + 1,
                elapsed_s=round(statement.elapsed_s, 4),
            )
            return reply
        if not reply.rejection.is_not_run:
            raise build_write_failure(reply)
        record_not_run(statement, member, reply)
        reason = reply.detail
    raise RequestError(ErrorKind.NO_PRIMARY, f"not run: {reason}")


async def try_primary(statement: Statement, member: Member) -> Reply | str:
    """Attempt the write at an upstream.

    Returns:
        Its reply, or a reason if the write certainly was not sent.

    Raises:
        RequestError: If its outcome is not known.
    """
    try:
        link = await member.pool.acquire(
            statement.caller,
            statement.connection_deadline_s,
            statement.account,
            statement.build_work_terms(),
        )
    except UpstreamLostError as error:
        return error.reason
    is_sent = False
    try:
        await set_up_session(statement, link)
        is_sent = True
        return await send_committing_request(
            statement.group,
            member,
            link,
            statement.request,
            max(0.0, statement.remaining_s),
        )
    except UpstreamLostError as error:
        if not is_sent:
            return error.reason
        raise build_outcome_unknown(statement, member, error.reason) from error
    except ReplyTimeoutError:
        if not is_sent:
            return "the connection could not be set up"
        raise RequestError(
            ErrorKind.STATEMENT_TIMED_OUT, f"{member.member_id} did not reply"
        ) from None
    finally:
        member.pool.release(link)


def build_outcome_unknown(
    statement: Statement, member: Member, reason: str
) -> RequestError:
    """Log a write whose outcome is not known and build its error."""
    log_failure(
        "write_outcome_unknown",
        request=statement.request.log_id,
        group=statement.group.name,
        upstream=member.member_id,
        reason=reason,
    )
    return RequestError(
        ErrorKind.OUTCOME_UNKNOWN, f"{member.member_id} was lost: {reason}"
    )


def build_write_failure(reply: Reply) -> RequestError:
    """Build the error for a write that the upstream ran without success."""
    if reply.rejection is RejectionKind.TIMED_OUT:
        return RequestError(ErrorKind.STATEMENT_TIMED_OUT, reply.detail)
    return RequestError(ErrorKind.STATEMENT_FAILED, reply.detail)


def record_not_run(statement: Statement, member: Member, reply: Reply) -> None:
    """Record and log a rejection of a write that was not run."""
    if reply.rejection is RejectionKind.READ_ONLY:
        statement.group.record_not_primary(member)
    elif reply.rejection is RejectionKind.BUSY:
        member.pool.record_overload()
    log_failure(
        "write_not_run",
        request=statement.request.log_id,
        group=statement.group.name,
        upstream=member.member_id,
        reason=reply.detail,
    )
