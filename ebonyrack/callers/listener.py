"""Listener for callers, which runs their sessions."""

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

SECRET_KEY_BYTES = 4
MAXIMUM_SESSION_NUMBER = 2**31 - 1
BACKLOG = 1024
# Connections in startup that are accepted beyond the maximum number of sessions.
MAXIMUM_STARTING_CONNECTIONS = 256
# Time for a caller to read the final error and close the connection.
CLOSE_TIMEOUT_S = 1.0
MAXIMUM_CONCURRENT_CANCELS = 64


class CallerListener(Component):
    """Accepts callers; an asynchronous context manager that owns their tasks.

    Attributes:
        services: Services of the proxy.
        sessions: Sessions by number.
        tasks: Tasks by connection.
        server: The listening server, or None.
        address: Address on which it listens.
        watchdog: Task that ends waits beyond their time limits.
        cancels: Tasks that cancel abandoned statements.
        last_number: Number of the session opened last.
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
        """Start listening for callers."""
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
        """Stop listening and abort the remaining connections."""
        self.stop_listening()
        tasks = [*self.tasks.values(), *self.cancels]
        if self.watchdog is not None:
            tasks.append(self.watchdog)
        await end_tasks(tasks)
        for stream in tuple(self.tasks):
            stream.abort()

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self.server is not None:
            self.server.close()
            self.server = None

    def accept(self, stream: CallerStream) -> None:
        """Start the task that serves a new connection.

        Args:
            stream: The connection.
        """
        limit = (
            self.services.settings.proxy.maximum_callers + MAXIMUM_STARTING_CONNECTIONS
        )
        if len(self.tasks) >= limit:
            stream.write(build_error_response(RequestError(ErrorKind.TOO_MANY_CALLERS)))
            stream.close()
            return
        task = asyncio.get_running_loop().create_task(self.serve(stream))
        self.tasks[stream] = task
        task.add_done_callback(lambda _: self.remove_connection(stream))

    def remove_connection(self, stream: CallerStream) -> None:
        """Remove a connection whose task has ended.

        Args:
            stream: The connection.
        """
        task = self.tasks.pop(stream, None)
        stream.on_lost = None
        stream.close()
        if task is not None and not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("session_failed")

    async def serve(self, stream: CallerStream) -> None:
        """Serve one connection from startup to close.

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
            stream.send_eof()
        except Exception:
            logger.exception("session_failed")
            stream.write(build_error_response(RequestError(ErrorKind.INTERNAL)))
            stream.send_eof()
        finally:
            if session is not None:
                self.sessions.pop(session.number, None)
            stream.on_lost = None
            if stream.is_eof_sent:
                await self.wait_for_close(stream)
            stream.close()

    async def wait_for_close(self, stream: CallerStream) -> None:
        """Give a caller time to read the final error before the connection is closed.

        Args:
            stream: The connection.
        """
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await stream.wait_for_close()
        except TimeoutError:
            logger.debug("caller_did_not_close")

    def cancel_statement(self, connection: UpstreamConnection) -> None:
        """Cancel the statement of an upstream connection that a session abandoned.

        It is left to end by itself if too many cancel requests are in progress.

        Args:
            connection: The abandoned connection.
        """
        if len(self.cancels) >= MAXIMUM_CONCURRENT_CANCELS:
            return
        task = asyncio.get_running_loop().create_task(cancel_abandoned(connection))
        self.cancels.add(task)
        task.add_done_callback(self.cancels.discard)

    async def cancel(self, request: CancelRequest) -> None:
        """Serve a cancel request, which the load balancer may send to any proxy.

        Args:
            request: The request.
        """
        number, secret_key = request.process_id, request.secret_key
        if not await cancel_request(self.sessions, number, secret_key):
            self.services.forward_cancel(number, secret_key)

    async def start_session(self, stream: CallerStream) -> CallerSession | None:
        """Run the startup within its time limit and open the session.

        Args:
            stream: The connection.

        Returns:
            The session, or None if the connection was for a cancel request.

        Raises:
            RequestError: If the connection is rejected.
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
            raise RequestError(ErrorKind.BAD_REQUEST, "startup timed out") from None
        return self.open_session(stream, identity)

    def open_session(
        self, stream: CallerStream, identity: CallerIdentity
    ) -> CallerSession:
        """Open the session of an authenticated caller.

        Args:
            stream: The connection.
            identity: Identity of the caller.

        Returns:
            The session.

        Raises:
            RequestError: TOO_MANY_CALLERS, SHUTTING_DOWN, or BAD_TOKEN or UNSUPPORTED
                for a variable given at startup.
        """
        self.check_admitted(identity)
        session = CallerSession(
            self.services,
            stream,
            identity,
            self.allocate_number(),
            secrets.token_bytes(SECRET_KEY_BYTES),
            self.cancel_statement,
        )
        for name, value in identity.variables.items():
            session.variables.set(name, value)
        identity.variables = {}
        self.sessions[session.number] = session
        # From here on the loss of the connection cancels the session's task.
        stream.on_lost = functools.partial(cancel_task, self.tasks[stream])
        key = BackendKeyData(process_id=session.number, secret_key=session.secret_key)
        parameters = build_parameters(identity.user, session.variables)
        stream.write(parameters + key.to_wire() + build_ready_for_query("I"))
        return session

    def check_admitted(self, identity: CallerIdentity) -> None:
        """Reject a new session during a shutdown or beyond the limits.

        Args:
            identity: Identity of the caller.

        Raises:
            RequestError: TOO_MANY_CALLERS or SHUTTING_DOWN.
        """
        if self.services.drain.is_draining:
            raise RequestError(ErrorKind.SHUTTING_DOWN)
        if len(self.sessions) >= self.services.settings.proxy.maximum_callers:
            raise RequestError(ErrorKind.TOO_MANY_CALLERS, "limit of the proxy reached")
        name = identity.application
        section = self.services.configuration.document.applications.get(name)
        count = sum(
            other.identity.application == name for other in self.sessions.values()
        )
        if section is None or count >= section.maximum_callers:
            raise RequestError(
                ErrorKind.TOO_MANY_CALLERS, f"limit reached by application {name}"
            )

    def allocate_number(self) -> int:
        """Return the next session number that is not in use."""
        while True:
            self.last_number = self.last_number % MAXIMUM_SESSION_NUMBER + 1
            if self.last_number not in self.sessions:
                return self.last_number

    async def drain(self, limit_s: float) -> int:
        """Stop listening and end all sessions; `services.drain` must be draining.

        Args:
            limit_s: Seconds after which the remaining sessions are interrupted.

        Returns:
            Number of sessions interrupted in a request or transaction.
        """
        self.stop_listening()
        return await drain_sessions(self.sessions, self.services.drain, limit_s)


def cancel_task(task: asyncio.Task[None]) -> None:
    """Cancel the task of a caller that has disconnected.

    Args:
        task: The task.
    """
    task.cancel()
