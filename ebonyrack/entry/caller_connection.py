"""One caller's connection: its task reads, serves and answers."""

from __future__ import annotations

import asyncio

from loguru import logger
from result import Err

from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.line_stream import LineStream
from ebonyrack.core.line_stream import StreamLostError
from ebonyrack.requests.codec import BadRequest
from ebonyrack.requests.codec import CallerCodec
from ebonyrack.requests.reply import Answer
from ebonyrack.requests.reply import TransactionState
from ebonyrack.serving.services import Services
from ebonyrack.serving.session import Session

# How long a caller waits at the start for the first routes, in seconds; callers give
# a session up that takes two.
ROUTES_WAIT_S = 1.5
ROUTES_PAUSE_S = 0.02


class CallerConnection:
    """One caller.

    Attributes:
        services: What all sessions share.
        codec: Protocol of callers.
        stream: The connection.
        session: The session, once it is opened.
        is_waiting: Whether no request is being served.
        is_closing: Whether the connection ends as soon as nothing is open.
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
        """Open the session; return whether it is open."""
        limit_s = self.services.routes.table.startup_timeout_s
        try:
            async with asyncio.timeout(limit_s):
                found = await self.codec.read_startup(self.stream)
        except TimeoutError:
            logger.bind(limit_s=limit_s).info("caller_sent_no_startup")
            return False
        if isinstance(found, Err):
            self.refuse(RequestError(ErrorKind.BAD_REQUEST, found.err_value.reason))
            return False
        database = found.ok_value
        try:
            await self.wait_for_routes()
            self.services.find_route(database)
        except RequestError as error:
            logger.bind(
                database=database.decode("utf-8", "replace"),
                error=str(error.kind),
                version=self.services.routes.table.version,
            ).info("session_refused")
            self.refuse(error)
            return False
        self.session = Session(self.services, database)
        self.stream.write(self.codec.encode_started())
        return True

    async def wait_for_routes(self) -> None:
        """Wait until the first routes are known.

        Raises:
            RequestError: CUT_OFF if they don't come in time.
        """
        give_up_s = asyncio.get_running_loop().time() + ROUTES_WAIT_S
        while self.services.routes.table.version == 0:
            if asyncio.get_running_loop().time() > give_up_s:
                raise RequestError(ErrorKind.CUT_OFF, "no routes are known yet")
            await asyncio.sleep(ROUTES_PAUSE_S)

    def refuse(self, error: RequestError) -> None:
        """Tell the caller why no session is opened."""
        self.stream.write(self.codec.encode_refusal(error))

    async def serve_requests(self) -> None:
        """Answer requests until the session ends."""
        assert self.session is not None
        while not self.is_finished():
            self.is_waiting = True
            found = await self.codec.read_request(self.stream)
            self.is_waiting = False
            if isinstance(found, Err):
                if not self.answer_bad(found.err_value):
                    return
                continue
            if found.ok_value is None:
                return
            answer = await self.session.answer(found.ok_value)
            self.stream.write(self.codec.encode_answer(answer))
            await self.stream.drain()

    def is_finished(self) -> bool:
        """Whether the session ends now that nothing is open."""
        if not self.is_closing or self.session is None:
            return False
        return self.session.state is TransactionState.IDLE

    def answer_bad(self, bad: BadRequest) -> bool:
        """Answer what can't be understood; return whether the session goes on."""
        assert self.session is not None
        kind = (
            ErrorKind.REQUEST_TOO_LARGE if bad.ends_session else ErrorKind.BAD_REQUEST
        )
        answer = Answer(self.session.state, error=RequestError(kind, bad.reason))
        logger.bind(
            request=bad.request_id.decode("ascii", "replace"), reason=bad.reason
        ).info("request_not_understood")
        self.stream.write(self.codec.encode_answer(answer))
        return not bad.ends_session

    def close_when_idle(self) -> None:
        """End the session between two requests, at once if it waits for one."""
        self.is_closing = True
        self.end_if_idle()

    def end_if_idle(self) -> bool:
        """End the session if it waits for a request outside a transaction."""
        if self.session is None or not self.is_waiting:
            return False
        if self.session.state is not TransactionState.IDLE:
            return False
        self.stream.close("the caller is served elsewhere")
        return True

    def end_idle_transaction(self, limit_s: float, reason: str) -> None:
        """Roll a transaction back whose caller has been idle too long."""
        if self.session is None or not self.is_waiting:
            return
        if self.session.is_idle_too_long(limit_s):
            self.session.end_transaction(reason)
