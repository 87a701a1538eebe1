"""Dispatches statements to the proxy itself, a transaction, a read or a write."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ebonyrack.callers.answers import EMPTY_QUERY_FRAME
from ebonyrack.callers.answers import build_command_complete
from ebonyrack.callers.answers import build_text_columns
from ebonyrack.callers.answers import build_text_row
from ebonyrack.callers.reading import run_read
from ebonyrack.callers.statement import StatementKind
from ebonyrack.callers.transaction_status import FAILED
from ebonyrack.callers.transaction_status import IDLE
from ebonyrack.callers.writing import run_write
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError

if TYPE_CHECKING:
    from ebonyrack.callers.exchange import Request
    from ebonyrack.callers.exchange import SimpleRequest
    from ebonyrack.callers.session import CallerSession
    from ebonyrack.callers.statement import Statement

LOCAL_KINDS = frozenset(
    {
        StatementKind.SET_VARIABLE,
        StatementKind.SHOW_VARIABLE,
        StatementKind.DISCARD,
        StatementKind.EMPTY,
    }
)
CONTROL_KINDS = LOCAL_KINDS | {
    StatementKind.BEGIN,
    StatementKind.COMMIT,
    StatementKind.ROLLBACK,
    StatementKind.UNSUPPORTED,
}


@dataclass(frozen=True, slots=True)
class LocalAnswer:
    """The answer to a statement that needs no upstream.

    Attributes:
        complete: Frame that completes the command.
        name: Name of the one column, or an empty string if there is no row.
        value: Value of the column.
    """

    complete: bytes
    name: str = ""
    value: str = ""

    @property
    def row(self) -> bytes:
        """DataRow frame, empty if there is no row."""
        return build_text_row((self.value,)) if self.name else b""


async def run_data(
    session: CallerSession, statement: Statement, request: Request
) -> bool:
    """Serve a read or a write.

    Args:
        session: The session.
        statement: Classification of the statement.
        request: Request to send for it.

    Returns:
        Whether it succeeded.

    Raises:
        RequestError: If it could not be served.
    """
    transaction = session.transaction
    transaction.raise_pending_error()
    is_read = statement.kind is StatementKind.READ
    if transaction.status == IDLE:
        return await (run_read if is_read else run_write)(session, request)
    if transaction.status == FAILED and session.connection is None:
        raise RequestError(ErrorKind.TRANSACTION_FAILED)
    return await transaction.run(request, is_read)


async def run_control(
    session: CallerSession, statement: Statement, request: SimpleRequest
) -> bool:
    """Serve transaction control and reject unsupported statements.

    Args:
        session: The session.
        statement: Classification of the statement.
        request: The statement as a simple query.

    Returns:
        Whether it succeeded.

    Raises:
        RequestError: If it could not be served.
    """
    transaction = session.transaction
    if statement.kind is StatementKind.ROLLBACK:
        transaction.pending_error = None
        return await transaction.roll_back(request)
    if statement.kind is StatementKind.COMMIT:
        return await transaction.commit(request)
    transaction.raise_pending_error()
    if transaction.status == FAILED:
        raise RequestError(ErrorKind.TRANSACTION_FAILED)
    if statement.kind is StatementKind.UNSUPPORTED:
        raise RequestError(ErrorKind.UNSUPPORTED, statement.reason)
    if transaction.status == IDLE:
        transaction.begin(request.text, statement.read_only)
    session.stream.write(build_command_complete("BEGIN"))
    return True


def run_local(session: CallerSession, statement: Statement) -> LocalAnswer:
    """Serve a statement that needs no upstream.

    Args:
        session: The session.
        statement: Classification of the statement.

    Returns:
        The answer.

    Raises:
        RequestError: If a value is not valid or the transaction has failed.
    """
    session.transaction.raise_pending_error()
    if statement.kind is StatementKind.EMPTY:
        return LocalAnswer(EMPTY_QUERY_FRAME)
    if session.transaction.status == FAILED:
        raise RequestError(ErrorKind.TRANSACTION_FAILED)
    variables = session.variables
    if statement.kind is StatementKind.SHOW_VARIABLE:
        value = variables.show(statement.variable)
        return LocalAnswer(build_command_complete("SHOW"), statement.variable, value)
    if statement.kind is StatementKind.DISCARD:
        return discard(session, statement)
    if statement.value:
        variables.set(statement.variable, statement.value)
    else:
        variables.reset(statement.variable)
    return LocalAnswer(build_command_complete("SET"))


def discard(session: CallerSession, statement: Statement) -> LocalAnswer:
    """Reset the variables or drop the prepared statements of a session.

    Args:
        session: The session.
        statement: A DISCARD, DEALLOCATE or RESET ALL.

    Returns:
        The answer.
    """
    target = statement.variable
    if target in ("all", "variables", "session"):
        session.variables.reset("all")
    if session.pipeline is not None:
        if target in ("all", "statements"):
            session.pipeline.store.clear()
        elif target == "statement":
            session.pipeline.store.remove(statement.value.encode())
    tags = {"variables": "RESET", "statements": "DEALLOCATE ALL", "all": "DISCARD ALL"}
    tags |= {"statement": "DEALLOCATE", "session": "RESET"}
    return LocalAnswer(
        build_command_complete(tags.get(target, f"DISCARD {target.upper()}"))
    )


async def run_simple(
    session: CallerSession, statement: Statement, request: SimpleRequest
) -> bool:
    """Serve a statement that arrived as a simple query.

    Args:
        session: The session.
        statement: Classification of the statement.
        request: The query.

    Returns:
        Whether it succeeded.

    Raises:
        RequestError: If it could not be served.
    """
    if statement.kind not in CONTROL_KINDS:
        return await run_data(session, statement, request)
    if statement.kind not in LOCAL_KINDS:
        return await run_control(session, statement, request)
    answer = run_local(session, statement)
    if answer.name:
        session.stream.write(build_text_columns((answer.name,)))
    session.stream.write(answer.row + answer.complete)
    return True
