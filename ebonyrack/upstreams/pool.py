"""Bounded pool of connections to one upstream."""

from __future__ import annotations

import asyncio
from types import TracebackType
from typing import Self

from loguru import logger

from ebonyrack.config.sections import GroupSection
from ebonyrack.core.address import Address
from ebonyrack.core.clock import now_s
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.upstreams.admission import AdmissionQueue
from ebonyrack.upstreams.admission import Waiter
from ebonyrack.upstreams.connection import UpstreamConnection
from ebonyrack.upstreams.connection import UpstreamLostError
from ebonyrack.upstreams.connection import open_connection

TOO_MANY_CONNECTIONS = "53300"
OPEN_TIMEOUT_S = 2.0
# How long a limit that the upstream enforced by a refusal stays as it is.
REFUSED_LIMIT_S = 2.0
# After that time the limit rises by one in each interval.
RAISE_INTERVAL_S = 0.5


class ConnectionPool:
    """Connections to one upstream, each used by one caller at a time.

    A place is an idle, busy or opening connection; there are never more places than
    the limit allows. Whoever is granted a place holds it until `release`.

    Attributes:
        address: Address of the upstream.
        section: Section of the database group.
        limit: Largest number of connections.
        queue: Requests that wait for a place.
        idle: Connections that nobody uses, the one used last at the end.
        busy: Connections in use, with the monotonic time of the grant.
        opening: Number of connections being opened.
        attempts: Tasks that open them; ended when the pool stops taking work.
        is_accepting: Whether new work is taken.
        refused_limit: Places that were held when the upstream refused one more.
        refused_at_s: Monotonic time of that refusal, or None.
        raise_timer: Serves waiters again when the lowered limit rises.
    """

    __slots__ = (
        "address",
        "section",
        "limit",
        "queue",
        "idle",
        "busy",
        "opening",
        "attempts",
        "is_accepting",
        "refused_limit",
        "refused_at_s",
        "raise_timer",
    )

    def __init__(self, address: Address, section: GroupSection, limit: int) -> None:
        self.address = address
        self.section = section
        self.limit = max(1, limit)
        self.queue = AdmissionQueue(section.queue_limit)
        self.idle: list[UpstreamConnection] = []
        self.busy: dict[UpstreamConnection, float] = {}
        self.opening = 0
        self.attempts: set[asyncio.Task[UpstreamConnection]] = set()
        self.is_accepting = True
        self.refused_limit = 0
        self.refused_at_s: float | None = None
        self.raise_timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.stop_new_work()
        self.stop_raising()
        for connection in list(self.busy):
            connection.close()

    @property
    def open_count(self) -> int:
        """Places held: idle, busy and opening connections."""
        return len(self.idle) + len(self.busy) + self.opening

    @property
    def idle_count(self) -> int:
        """Connections that nobody uses."""
        return len(self.idle)

    @property
    def busy_count(self) -> int:
        """Connections in use or being opened for a caller."""
        return len(self.busy) + self.opening

    @property
    def waiting_count(self) -> int:
        """Requests that wait for a place."""
        return len(self.queue)

    @property
    def present_limit(self) -> int:
        """The limit, lowered for a time after the upstream refused a connection."""
        if self.refused_at_s is None:
            return self.limit
        elapsed_s = now_s() - self.refused_at_s - REFUSED_LIMIT_S
        raised = max(0, int(elapsed_s / RAISE_INTERVAL_S))
        present = max(1, self.refused_limit) + raised
        if present >= self.limit:
            self.refused_at_s = None
        return min(self.limit, present)

    def set_weights(self, weights: dict[str, int]) -> None:
        """Set the shares of the applications in the queue.

        Args:
            weights: Weight by name of the application; others count 1.
        """
        self.queue.weights = weights

    async def acquire(self, caller: str, deadline_s: float) -> UpstreamConnection:
        """Wait for a connection.

        Args:
            caller: Name of the application that asks.
            deadline_s: Monotonic time at which the request gives up.

        Returns:
            A clean connection, held until `release`.

        Raises:
            RequestError: QUEUE_FULL or WAIT_TOO_LONG; nothing was sent.
            UpstreamLostError: If the upstream takes no work or can't be reached.
        """
        self.check_accepting()
        waiter = Waiter(caller, deadline_s, next(self.queue.arrivals))
        if not self.queue and self.has_place():
            connection = self.take_place()
        else:
            self.queue.limit = self.section.queue_limit
            self.queue.add(waiter, self.present_limit)
            self.grant_places()
            connection = await self.wait_for_grant(waiter)
        while connection is None:
            connection = await self.open_place(waiter)
        return connection

    def check_accepting(self) -> None:
        """Raise UpstreamLostError while the pool takes no new work."""
        if not self.is_accepting:
            raise self.build_stopped()

    def build_stopped(self) -> UpstreamLostError:
        """Build the error for work that comes while none is taken."""
        return UpstreamLostError(f"{self.address} takes no new work")

    def has_place(self) -> bool:
        """Whether a caller can be served without waiting for a release."""
        self.drop_lost_idle()
        return bool(self.idle) or self.open_count < self.present_limit

    def drop_lost_idle(self) -> None:
        """Forget idle connections that have ended meanwhile."""
        if all(connection.is_clean for connection in self.idle):
            return
        for connection in self.idle:
            if not connection.is_clean:
                connection.close()
        self.idle = [connection for connection in self.idle if connection.is_clean]

    def take_place(self) -> UpstreamConnection | None:
        """Take an idle connection, or the place of one to be opened (None)."""
        if not self.idle:
            self.opening += 1
            return None
        connection = self.idle.pop()
        self.busy[connection] = now_s()
        return connection

    def grant_places(self) -> None:
        """Serve waiters as long as there are places."""
        while self.queue and self.is_accepting and self.has_place():
            waiter = self.queue.take()
            granted = waiter.granted if waiter is not None else None
            if granted is not None and not granted.done():
                granted.set_result(self.take_place())

    async def wait_for_grant(self, waiter: Waiter) -> UpstreamConnection | None:
        """Wait until a place is granted, up to the waiter's deadline.

        Args:
            waiter: The queued waiter.

        Returns:
            A connection, or None for the place of one to be opened.

        Raises:
            RequestError: WAIT_TOO_LONG at the deadline; QUEUE_FULL if pushed out.
            UpstreamLostError: If the pool stops taking work.
        """
        assert waiter.granted is not None
        try:
            async with asyncio.timeout(waiter.deadline_s - now_s()):
                connection: UpstreamConnection | None = await waiter.granted
        except TimeoutError:
            self.give_back_grant(waiter)
            raise self.queue.build_refusal(
                ErrorKind.WAIT_TOO_LONG, "the deadline passed", self.present_limit
            ) from None
        except asyncio.CancelledError:
            self.give_back_grant(waiter)
            raise
        return connection

    def give_back_grant(self, waiter: Waiter) -> None:
        """Return the place of a waiter that gives up, if it was granted one.

        Args:
            waiter: The waiter.
        """
        self.queue.discard(waiter)
        granted = waiter.granted
        if granted is None or not granted.done():
            return
        if granted.cancelled() or granted.exception() is not None:
            return
        connection = granted.result()
        if connection is None:
            self.give_up_opening()
        else:
            self.release(connection)

    def give_up_opening(self) -> None:
        """Free the place of a connection that was not opened."""
        self.opening -= 1
        self.grant_places()

    async def open_place(self, waiter: Waiter) -> UpstreamConnection | None:
        """Open the connection of a place that is held.

        Args:
            waiter: The request that holds the place.

        Returns:
            The connection, busy; None if another place was granted after the
            upstream had refused the connection.

        Raises:
            RequestError: WAIT_TOO_LONG if the upstream has no connection to spare.
            UpstreamLostError: If it can't be reached.
        """
        try:
            connection = await self.open_connection(waiter.deadline_s)
        except UpstreamLostError as error:
            self.opening -= 1
            if error.sqlstate != TOO_MANY_CONNECTIONS:
                self.grant_places()
                raise
            self.note_refusal()
        except BaseException:
            self.give_up_opening()
            raise
        else:
            self.opening -= 1
            self.busy[connection] = now_s()
            return self.check_opened(connection)
        return await self.wait_for_release(waiter)

    async def open_connection(self, deadline_s: float) -> UpstreamConnection:
        """Open a connection with the group's user.

        Args:
            deadline_s: Monotonic time at which to give up.

        Returns:
            The connection.

        Raises:
            UpstreamLostError: If the upstream refuses or can't be reached.
        """
        section = self.section
        timeout_s = max(0.0, min(OPEN_TIMEOUT_S, deadline_s - now_s()))
        attempt = asyncio.create_task(
            open_connection(
                self.address,
                section.user,
                section.password,
                section.database,
                timeout_s,
            )
        )
        self.attempts.add(attempt)
        try:
            await asyncio.wait({attempt})
        except asyncio.CancelledError:
            await self.abandon_attempt(attempt)
            raise
        finally:
            self.attempts.discard(attempt)
        if attempt.cancelled():
            raise self.build_stopped()
        return attempt.result()

    async def abandon_attempt(self, attempt: asyncio.Task[UpstreamConnection]) -> None:
        """End an attempt whose caller gave up.

        Args:
            attempt: The task that opens the connection.
        """
        attempt.cancel()
        await asyncio.wait({attempt})
        if not attempt.cancelled() and attempt.exception() is None:
            attempt.result().close()

    def check_opened(self, connection: UpstreamConnection) -> UpstreamConnection:
        """Give a new connection up if the pool stopped taking work meanwhile.

        Args:
            connection: The connection, busy.

        Returns:
            The connection.

        Raises:
            UpstreamLostError: If no new work is taken.
        """
        if not self.is_accepting:
            self.release(connection)
            self.check_accepting()
        return connection

    def note_refusal(self) -> None:
        """Lower the limit to what the upstream has let us open."""
        self.refused_limit = self.open_count
        self.refused_at_s = now_s()
        logger.bind(address=str(self.address), limit=self.present_limit).warning(
            "upstream refused a connection"
        )
        self.raise_after(REFUSED_LIMIT_S)

    def raise_after(self, delay_s: float) -> None:
        """Serve waiters again after a time.

        Args:
            delay_s: Seconds until then.
        """
        self.stop_raising()
        loop = asyncio.get_running_loop()
        self.raise_timer = loop.call_later(delay_s, self.serve_raised_limit)

    def serve_raised_limit(self) -> None:
        """Serve waiters by the present limit until it is no longer lowered."""
        self.raise_timer = None
        self.grant_places()
        if self.present_limit < self.limit:
            self.raise_after(RAISE_INTERVAL_S)

    def stop_raising(self) -> None:
        """Cancel the timer that raises the limit."""
        if self.raise_timer is not None:
            self.raise_timer.cancel()
            self.raise_timer = None

    async def wait_for_release(self, waiter: Waiter) -> UpstreamConnection | None:
        """Wait for another place, after the upstream refused a connection.

        Args:
            waiter: The request, which holds no place any more.

        Returns:
            The connection, or None for the place of one to be opened.

        Raises:
            RequestError: WAIT_TOO_LONG if there is none or none comes free.
            UpstreamLostError: If the pool stops taking work.
        """
        self.check_accepting()
        if self.open_count == 0:
            self.queue.fail_all(self.build_no_connection)
            raise self.build_no_connection()
        self.queue.insert(waiter)
        self.grant_places()
        return await self.wait_for_grant(waiter)

    def build_no_connection(self) -> RequestError:
        """Build the refusal for an upstream that has no connection to spare."""
        return self.queue.build_refusal(
            ErrorKind.WAIT_TOO_LONG, "the upstream has no connection to spare", 1
        )

    def release(self, connection: UpstreamConnection) -> None:
        """Take a connection back; one that is not clean is closed.

        Args:
            connection: A connection from `acquire`.

        Raises:
            ValueError: If the connection is not in use.
        """
        if connection not in self.busy:
            raise ValueError("the connection is not in use")
        granted_at_s = self.busy.pop(connection)
        # How long a connection was held that broke tells nothing of the service.
        if connection.is_clean:
            self.queue.pace.note_service(now_s() - granted_at_s)
        self.keep_or_close(connection)
        self.grant_places()

    def keep_or_close(self, connection: UpstreamConnection) -> None:
        """Keep a connection that nobody uses, or close it.

        Args:
            connection: The connection, counted in no place.
        """
        has_room = self.open_count < self.present_limit
        if self.is_accepting and has_room and connection.is_clean:
            self.idle.append(connection)
        else:
            connection.close()

    def resize(self, limit: int) -> None:
        """Change the limit; busy connections above it close as they come back.

        Args:
            limit: New largest number of connections; at least 1 is kept.
        """
        self.limit = max(1, limit)
        while self.idle and self.open_count > self.limit:
            self.idle.pop(0).close()
        self.grant_places()

    def stop_new_work(self) -> None:
        """Refuse new work; connections in use may finish what they run."""
        self.is_accepting = False
        for attempt in self.attempts:
            attempt.cancel()
        self.close_idle()
        self.queue.fail_all(self.build_stopped)

    def resume_new_work(self) -> None:
        """Take new work again."""
        self.is_accepting = True

    def close_idle(self) -> None:
        """Close the connections that nobody uses."""
        for connection in self.idle:
            connection.close()
        self.idle = []

    async def warm(self, count: int) -> int:
        """Open connections ahead of need.

        Args:
            count: Connections that should be open, within the limit.

        Returns:
            Connections that are open, counting those in use.

        Raises:
            UpstreamLostError: If the upstream can't be reached.
        """
        while self.is_accepting and self.open_count < min(count, self.present_limit):
            self.opening += 1
            try:
                connection = await self.open_connection(now_s() + OPEN_TIMEOUT_S)
            except UpstreamLostError as error:
                self.give_up_opening()
                if error.sqlstate != TOO_MANY_CONNECTIONS:
                    raise
                self.note_refusal()
                break
            except BaseException:
                self.give_up_opening()
                raise
            self.opening -= 1
            self.keep_or_close(connection)
            self.grant_places()
        return self.open_count
