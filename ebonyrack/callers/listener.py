"""The listener for callers and the sessions that it has started."""

from __future__ import annotations

import asyncio
import functools
import secrets
from typing import TYPE_CHECKING

from loguru import logger
from pygwire.messages import BackendKeyData
from pygwire.messages import CancelRequest
from pygwire.messages import StartupMessage

from ebonyrack.callers.answers import build_error_response
from ebonyrack.callers.answers import build_ready_for_query
from ebonyrack.callers.cancel import cancel_abandoned
from ebonyrack.callers.cancel import cancel_request
from ebonyrack.callers.parameters import build_parameters
from ebonyrack.callers.session import CallerSession
from ebonyrack.callers.session_drain import drain_sessions
from ebonyrack.callers.startup import authenticate
from ebonyrack.callers.startup import negotiate_protocol
from ebonyrack.callers.startup import read_startup_request
from ebonyrack.callers.stream import CallerStream
from ebonyrack.callers.watchdog import watch_sessions
from ebonyrack.core.address import Address
from ebonyrack.core.component import Component
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.tasks import end_tasks

if TYPE_CHECKING:
    from ebonyrack.callers.startup import CallerIdentity
    from ebonyrack.service.services import Services
    from ebonyrack.upstreams.connection import UpstreamConnection

SECRET_BYTES = 4
MAXIMUM_SESSION_NUMBER = 2**31 - 1
BACKLOG = 1024
# Connections that are starting may exceed the sessions by this many.
MAXIMUM_STARTING = 256
# A caller may take this long to read why its session has ended.
LINGER_S = 1.0
MAXIMUM_CANCELS = 64


class CallerListener(Component):
    """Accepts callers; an asynchronous context manager that owns their tasks.

    Attributes:
        services: Parts of the proxy.
        sessions: Sessions by number.
        tasks: Task of each connection.
        server: The listening socket, while there is one.
        address: Address that it listens at.
        watchdog: Task that ends waits over their limits.
        cancels: Tasks that stop statements nobody waits for.
    """

    def __init__(self, services: Services) -> None:
        self.services = services
        self.sessions: dict[int, CallerSession] = {}
        self.tasks: dict[CallerStream, asyncio.Task[None]] = {}
        self.server: asyncio.Server | None = None
        self.address: Address = services.settings.proxy.caller_address
        self.watchdog: asyncio.Task[None] | None = None
        self.cancels: set[asyncio.Task[None]] = set()
        self.last_number = 0

    async def start(self) -> None:
        """Listen for callers."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CallerStream(self.accept),
            self.address.host,
            self.address.port,
            backlog=BACKLOG,
        )
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = Address(host, port)
        self.watchdog = asyncio.create_task(watch_sessions(self.sessions))
        logger.bind(address=str(self.address)).info("listening_for_callers")

    async def stop(self) -> None:
        """Stop listening and break off what is left."""
        self.stop_listening()
        tasks = [*self.tasks.values(), *self.cancels]
        if self.watchdog is not None:
            tasks.append(self.watchdog)
        await end_tasks(tasks)
        for stream in tuple(self.tasks):
            stream.abort()

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def accept(self, stream: CallerStream) -> None:
        """Start the task of a new connection.

        Args:
            stream: The connection.
        """
        limit = self.services.settings.proxy.maximum_callers + MAXIMUM_STARTING
        if len(self.tasks) >= limit:
            stream.write(build_error_response(RequestError(ErrorKind.TOO_MANY_CALLERS)))
            stream.close()
            return
        task = asyncio.get_running_loop().create_task(self.serve(stream))
        self.tasks[stream] = task
        task.add_done_callback(lambda _: self.forget(stream))

    def forget(self, stream: CallerStream) -> None:
        """Drop a connection whose task has ended.

        Args:
            stream: The connection.
        """
        task = self.tasks.pop(stream, None)
        stream.on_lost = None
        stream.close()
        if task is not None and not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("session_failed")

    async def serve(self, stream: CallerStream) -> None:
        """Serve one connection from its first byte to its end.

        Args:
            stream: The connection.
        """
        session: CallerSession | None = None
        try:
            session = await self.start_session(stream)
            if session is not None:
                await session.run()
        except RequestError as error:
            stream.write(build_error_response(error))
            stream.finish()
        except Exception:
            logger.exception("session_failed")
            stream.write(build_error_response(RequestError(ErrorKind.INTERNAL)))
            stream.finish()
        finally:
            if session is not None:
                self.sessions.pop(session.number, None)
            stream.on_lost = None
            if stream.is_finished:
                await self.linger(stream)
            stream.close()

    async def linger(self, stream: CallerStream) -> None:
        """Let a caller read why its session has ended.

        Args:
            stream: The connection.
        """
        try:
            async with asyncio.timeout(LINGER_S):
                await stream.linger()
        except TimeoutError:
            logger.debug("caller_lingers")

    def cancel_statement(self, connection: UpstreamConnection) -> None:
        """Cancel what an upstream still runs for a session that gave it up.

        Args:
            connection: The connection, which nobody uses any more.
        """
        if len(self.cancels) >= MAXIMUM_CANCELS:
            return
        task = asyncio.get_running_loop().create_task(cancel_abandoned(connection))
        self.cancels.add(task)
        task.add_done_callback(self.cancels.discard)

    async def cancel(self, request: CancelRequest) -> None:
        """Serve a cancel request, which the balancer may bring to any proxy.

        Args:
            request: The request.
        """
        number, secret_key = request.process_id, request.secret_key
        if not await cancel_request(self.sessions, number, secret_key):
            self.services.forward_cancel(number, secret_key)

    async def start_session(self, stream: CallerStream) -> CallerSession | None:
        """Read the startup within its time limit and open the session.

        Args:
            stream: The connection.

        Returns:
            The session, or None if the connection was for a cancel request.

        Raises:
            RequestError: If the connection is refused.
        """
        settings = self.services.settings.proxy
        try:
            async with asyncio.timeout(settings.startup_timeout_s):
                request = await read_startup_request(stream)
                if isinstance(request, CancelRequest):
                    await self.cancel(request)
                if not isinstance(request, StartupMessage):
                    return None
                negotiate_protocol(stream, request)
                identity = await authenticate(
                    stream, request, self.services.configuration.document, settings
                )
        except TimeoutError:
            raise RequestError(ErrorKind.BAD_REQUEST, "startup took too long") from None
        return self.open_session(stream, identity)

    def open_session(
        self, stream: CallerStream, identity: CallerIdentity
    ) -> CallerSession:
        """Open the session of a caller that has proved who it is.

        Args:
            stream: The connection.
            identity: Who the caller is.

        Returns:
            The session.

        Raises:
            RequestError: TOO_MANY_CALLERS, SHUTTING_DOWN, or what the variables
                given at startup raise.
        """
        self.check_admitted(identity)
        session = CallerSession(
            self.services,
            stream,
            identity,
            self.choose_number(),
            secrets.token_bytes(SECRET_BYTES),
            self.cancel_statement,
        )
        for name, value in identity.variables.items():
            session.variables.set(name, value)
        identity.variables = {}
        self.sessions[session.number] = session
        # From here on a caller that goes away ends what runs for it.
        stream.on_lost = functools.partial(cancel_task, self.tasks[stream])
        key = BackendKeyData(process_id=session.number, secret_key=session.secret_key)
        parameters = build_parameters(identity.user, session.variables)
        stream.write(parameters + key.to_wire() + build_ready_for_query("I"))
        return session

    def check_admitted(self, identity: CallerIdentity) -> None:
        """Refuse a session that would be one too many.

        Args:
            identity: Who the caller is.

        Raises:
            RequestError: TOO_MANY_CALLERS or SHUTTING_DOWN.
        """
        if self.services.drain.is_draining:
            raise RequestError(ErrorKind.SHUTTING_DOWN)
        if len(self.sessions) >= self.services.settings.proxy.maximum_callers:
            raise RequestError(ErrorKind.TOO_MANY_CALLERS, "of all applications")
        name = identity.application
        section = self.services.configuration.document.applications.get(name)
        count = sum(
            other.identity.application == name for other in self.sessions.values()
        )
        if section is None or count >= section.maximum_callers:
            raise RequestError(ErrorKind.TOO_MANY_CALLERS, f"of application {name}")

    def choose_number(self) -> int:
        """Choose a number that no session has."""
        while True:
            self.last_number = self.last_number % MAXIMUM_SESSION_NUMBER + 1
            if self.last_number not in self.sessions:
                return self.last_number

    async def drain(self, limit_s: float) -> int:
        """Finish what runs and end all sessions; `services.drain` is draining.

        Args:
            limit_s: Seconds after which the rest is cut.

        Returns:
            How many sessions were cut in a request or transaction.
        """
        self.stop_listening()
        return await drain_sessions(self.sessions, self.services.drain, limit_s)


def cancel_task(task: asyncio.Task[None]) -> None:
    """Cancel the task of a caller that has gone.

    Args:
        task: The task.
    """
    task.cancel()
