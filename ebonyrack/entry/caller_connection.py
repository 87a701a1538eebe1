"""Serves one caller's connection: reads requests and writes the replies."""

from __future__ import annotations

import asyncio

from loguru import logger
from result import Err

from ebonyrack.core import metrics
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.line_stream import LineIncompleteError
from ebonyrack.core.line_stream import LineStream
from ebonyrack.core.line_stream import StreamLostError
from ebonyrack.core.logs import log_failure
from ebonyrack.requests.codec import BadRequest
from ebonyrack.requests.codec import CallerCodec
from ebonyrack.requests.reply import Answer
from ebonyrack.requests.reply import TransactionState
from ebonyrack.serving.services import Services
from ebonyrack.serving.session import Session

# Longest time that a new session waits for the first routes; callers abandon a session
# that takes 2 s to start.
ROUTES_TIMEOUT_S = 1.5
ROUTES_POLL_INTERVAL_S = 0.02


class CallerConnection:
    """One caller's session on its own connection.

    Attributes:
        services: State shared by all sessions.
        codec: Protocol spoken with callers.
        stream: The connection.
        session: The session, or None until it is opened.
        is_waiting: Whether the connection waits for the next request.
        is_closing: Whether the session ends as soon as no transaction is open.
    """

    __slots__ = (
        "services",
        "codec",
        "stream",
        "session",
        "is_waiting",
        "is_closing",
    )

    def __init__(
        self, services: Services, codec: CallerCodec, stream: LineStream
    ) -> None:
        self.services = services
        self.codec = codec
        self.stream = stream
        self.session: Session | None = None
        self.is_waiting = False
        self.is_closing = False

    async def serve(self) -> None:
        """Serve the caller until it or the proxy ends the session."""
        try:
            if await self.start_session():
                await self.serve_requests()
        except StreamLostError as error:
            logger.bind(reason=error.reason).debug("caller_gone")
        finally:
            if self.session is not None:
                self.session.close()
            self.stream.close("the session has ended")

    async def start_session(self) -> bool:
        """Open the session; return whether this succeeded."""
        limit_s = self.services.routes.table.message_timeout_s
        try:
            async with asyncio.timeout(limit_s):
                result = await self.codec.read_startup(self.stream)
        except TimeoutError:
            logger.bind(limit_s=limit_s).info("caller_sent_no_startup")
            return False
        if isinstance(result, Err):
            rejected = result.err_value
            self.refuse_session(RequestError(rejected.kind, rejected.reason))
            await self.skip_rest(rejected)
            return False
        startup = result.ok_value
        try:
            await self.wait_for_routes()
            route = self.services.find_route(startup.database)
            account = self.services.find_account(route, startup.key_digest)
        except RequestError as error:
            metrics.sessions_refused.add(1, {"error": str(error.kind)})
            log_failure(
                "session_refused",
                caller=self.stream.peer,
                database=startup.database.decode("utf-8", "replace"),
                error=str(error.kind),
                reason=error.reason,
                version=self.services.routes.table.version,
            )
            self.refuse_session(error)
            return False
        self.session = Session(self.services, startup, account)
        self.session.context.has_left = self.is_caller_gone
        self.stream.write(self.codec.encode_started())
        return True

    async def wait_for_routes(self) -> None:
        """Wait until the first routes are loaded.

        Raises:
            RequestError: CUT_OFF if they are not loaded in time.
        """
        deadline_s = asyncio.get_running_loop().time() + ROUTES_TIMEOUT_S
        while self.services.routes.table.version == 0:
            if asyncio.get_running_loop().time() > deadline_s:
                raise RequestError(ErrorKind.CUT_OFF, "no routes have been loaded yet")
            await asyncio.sleep(ROUTES_POLL_INTERVAL_S)

    def refuse_session(self, error: RequestError) -> None:
        """Send the caller the reason why no session is opened."""
        self.stream.write(self.codec.encode_refusal(error))

    async def serve_requests(self) -> None:
        """Serve requests until the session ends."""
        assert self.session is not None
        while not self.is_finished():
            self.is_waiting = True
            # A version may have come into force while a request was served.
            self.end_if_withdrawn()
            result = await self.codec.read_request(
                self.stream, self.services.routes.table.message_timeout_s
            )
            self.is_waiting = False
            if isinstance(result, Err):
                if not await self.reject_unread(result.err_value):
                    return
                continue
            if result.ok_value is None:
                return
            answer = await self.session.answer(result.ok_value)
            self.stream.write(self.codec.encode_answer(answer))
            await self.stream.drain()
            if is_denied(answer):
                return

    def is_caller_gone(self) -> bool:
        """Whether the caller has closed the connection."""
        return self.stream.lost_reason is not None

    def is_finished(self) -> bool:
        """Whether the session is closing and has no open transaction."""
        if not self.is_closing or self.session is None:
            return False
        return self.session.state is TransactionState.IDLE

    async def reject_unread(self, rejected: BadRequest) -> bool:
        """Answer a request that can't be parsed; return whether the session goes on."""
        assert self.session is not None
        error = RequestError(rejected.kind, rejected.reason)
        log_failure(
            "request_not_understood",
            request=rejected.request_id.decode("ascii", "backslashreplace"),
            caller=self.stream.peer,
            error=str(error.kind),
            reason=error.reason,
        )
        answer = Answer(self.session.state, error=error)
        self.stream.write(self.codec.encode_answer(answer))
        await self.stream.drain()
        return await self.skip_rest(rejected) and not rejected.ends_session

    async def skip_rest(self, rejected: BadRequest) -> bool:
        """Skip the rest of a rejected message; return whether its end was found.

        A connection that is closed before would be reset, and the answer lost.
        """
        if not rejected.has_rest:
            return True
        limit_s = self.services.routes.table.message_timeout_s
        try:
            await self.stream.skip_line(limit_s)
        except LineIncompleteError:
            log_failure(
                "caller_sent_no_message_end", caller=self.stream.peer, limit_s=limit_s
            )
            return False
        return True

    def close_when_idle(self) -> None:
        """End the session once no transaction is open, at once if it is idle."""
        self.is_closing = True
        self.end_if_idle()

    def end_if_idle(self) -> bool:
        """End the session if idle outside a transaction; return whether it was idle.

        A request that has arrived, or has begun to, is still answered.
        """
        if self.session is None or not self.is_waiting or self.stream.buffer:
            return False
        if self.session.state is not TransactionState.IDLE:
            return False
        self.stream.close("idle session closed by the proxy")
        return True

    def end_if_withdrawn(self) -> bool:
        """End the work of a session whose account is no longer in force.

        An idle session is closed. In a transaction, that is rolled back and the next
        request ends the session with the error. A request that is being served is
        finished first.

        Returns:
            Whether the account of the session is no longer in force.
        """
        reason = self.session.find_withdrawal() if self.session is not None else None
        if self.session is None or reason is None:
            return False
        if self.is_waiting:
            self.session.end_transaction(reason)
            self.end_if_idle()
        return True

    def end_idle_transaction(self, limit_s: float, reason: str) -> None:
        """Roll back the transaction if its caller has been idle too long."""
        if self.session is None or not self.is_waiting:
            return
        if self.session.is_idle_too_long(limit_s):
            self.session.end_transaction(reason)


def is_denied(answer: Answer) -> bool:
    """Return whether an answer ends the session for the lack of an account."""
    return answer.error is not None and answer.error.kind is ErrorKind.UNKNOWN_ACCOUNT
