"""A session of a stand-in upstream, from the connection's startup to its end."""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from pygwire import PygwireError
from pygwire import TransactionStatus
from pygwire import messages

from ebonyrack.core.position import LogPosition
from ebonyrack.standins.dialect import parse_script
from ebonyrack.standins.execution import AnswerLostError
from ebonyrack.standins.execution import commit_implicit_transaction
from ebonyrack.standins.execution import execute
from ebonyrack.standins.execution import fail_transaction
from ebonyrack.standins.extended_query import ExtendedQuery
from ebonyrack.standins.faults import PROXIES
from ebonyrack.standins.rows import encode_row_description
from ebonyrack.standins.rows import encode_rows
from ebonyrack.standins.session_stream import SessionStream
from ebonyrack.standins.sql_error import SqlError
from ebonyrack.standins.startup import REPORTED_PARAMETERS
from ebonyrack.standins.startup import start_session
from ebonyrack.standins.transaction import Transaction
from ebonyrack.upstreams.status import Role

if TYPE_CHECKING:
    from ebonyrack.standins.upstream import StandinUpstream

STARTUP_TIMEOUT_S = 60.0
KEY_BYTES = 4
# Reported at startup, and before ReadyForQuery after a change, as in PostgreSQL.
ROLE_PARAMETER = "in_hot_standby"
READY = {
    status: messages.ReadyForQuery(status).to_wire() for status in TransactionStatus
}


class StandinSession(SessionStream):
    """Serves one connection: startup, queries, cancellation.

    Attributes:
        process_id: Process id that identifies this session in a CancelRequest.
        secret_key: Key that a CancelRequest must contain.
        task: Task that serves the connection.
        transaction: Open transaction, if any.
        last_commit: Log position of the session's last committed transaction.
        parameters: Session parameters by lower-case name.
        extended: Prepared statements and portals.
        is_executing: Whether a statement is running and can be cancelled.
        is_cancelled: Whether a cancel request hasn't been handled yet.
    """

    __slots__ = (
        "process_id",
        "secret_key",
        "task",
        "transaction",
        "last_commit",
        "parameters",
        "extended",
        "is_executing",
        "is_cancelled",
    )

    def __init__(
        self,
        upstream: StandinUpstream,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        process_id: int,
    ) -> None:
        super().__init__(upstream, reader, writer)
        self.process_id = process_id
        self.secret_key = secrets.token_bytes(KEY_BYTES)
        self.task: asyncio.Task[None] | None = None
        self.transaction: Transaction | None = None
        self.last_commit: LogPosition | None = None
        self.parameters = {
            name.lower(): value for name, value in REPORTED_PARAMETERS.items()
        }
        self.extended = ExtendedQuery(self)
        self.is_executing = False
        self.is_cancelled = False

    async def run(self) -> None:
        """Serve the connection until it closes, then roll back and clean up."""
        try:
            async with asyncio.timeout(STARTUP_TIMEOUT_S):
                is_open = await start_session(self)
            if is_open:
                await self.serve()
        except AnswerLostError:
            self.abort()
        except ConnectionAbortedError:
            await self.flush()
        except (OSError, PygwireError, TimeoutError, UnicodeDecodeError):
            pass
        finally:
            self.upstream.sessions.pop(self.process_id, None)
            if self.transaction is not None and not self.transaction.is_terminated:
                self.upstream.rollback(self.transaction)
            self.writer.close()

    def set_parameter(self, name: str, value: str) -> None:
        """Set a parameter, and report it to the caller if it is a reported one."""
        self.parameters[name.lower()] = value
        for reported in REPORTED_PARAMETERS:
            if reported.lower() == name.lower():
                self.send(messages.ParameterStatus(reported, value))

    def report_role(self) -> None:
        """Report whether the upstream is a replica, if this has changed."""
        value = "off" if self.upstream.role is Role.PRIMARY else "on"
        if self.parameters.get(ROLE_PARAMETER) != value:
            self.parameters[ROLE_PARAMETER] = value
            self.send(messages.ParameterStatus(ROLE_PARAMETER, value))

    def send_ready(self) -> None:
        """Queue a ReadyForQuery message with the transaction's status."""
        self.report_role()
        status = TransactionStatus.IDLE
        if self.transaction is not None:
            status = TransactionStatus.IN_TRANSACTION
            if self.transaction.is_failed:
                status = TransactionStatus.ERROR_TRANSACTION
        self.send_buffer += READY[status]

    async def serve(self) -> None:
        """Process messages until the caller terminates the session."""
        while True:
            message = await self.next_message()
            match message:
                case messages.Query():
                    await self.run_script(message.query_string)
                case messages.Sync():
                    self.sync()
                case messages.Flush():
                    await self.flush()
                case messages.Terminate():
                    return
                case _:
                    await self.extended.handle(message)

    def sync(self) -> None:
        """Handle the Sync that ends a batch of extended query messages."""
        try:
            if self.extended.is_skipping:
                fail_transaction(self)
            else:
                commit_implicit_transaction(self)
        except SqlError as error:
            self.send_error(error)
        self.extended.end_batch()
        self.send_ready()

    async def run_script(self, text: str) -> None:
        """Execute all statements of a simple query."""
        script = parse_script(text)
        if not script:
            self.send(messages.EmptyQueryResponse())
        try:
            for statement in script:
                outcome = await execute(self, statement, ())
                if outcome.result.columns:
                    self.send_buffer += encode_row_description(outcome.result.columns)
                    self.send_buffer += encode_rows(
                        outcome.result.rows, outcome.result.columns
                    )
                self.send(messages.CommandComplete(outcome.tag))
            commit_implicit_transaction(self)
        except SqlError as error:
            self.send_error(error)
        self.send_ready()

    async def hold_slot(self, extra_s: float) -> None:
        """Occupy one of the upstream's execution slots for a statement's duration.

        Args:
            extra_s: Time in addition to the statement cost, in seconds.
        """
        duration_s = self.upstream.options.statement_cost_s + extra_s
        if duration_s <= 0 and not self.upstream.slots.locked():
            return
        async with self.upstream.slots:
            if duration_s > 0:
                await asyncio.sleep(duration_s)

    def cancel(self, secret_key: bytes) -> None:
        """Cancel the running statement if the secret key matches."""
        if secret_key == self.secret_key and self.is_executing:
            assert self.task is not None
            self.is_cancelled = True
            self.task.cancel()

    def consume_cancellation(self) -> bool:
        """Return whether a cancel request caused the cancellation, and clear it."""
        if not self.is_cancelled:
            return False
        assert self.task is not None
        self.is_cancelled = False
        self.task.uncancel()
        return True

    def terminate_transaction(self) -> None:
        """Roll back the open transaction for a higher term and end the session."""
        transaction = self.transaction
        if transaction is None:
            return
        self.upstream.rollback(transaction)
        transaction.is_terminated = True
        if self.is_executing:
            return
        error = SqlError("57P01", "the upstream is no longer primary", fatal=True)
        message = messages.ErrorResponse(error.build_fields())
        if self.upstream.faults.can_send(PROXIES):
            self.writer.write(message.to_wire())
        self.writer.close()
