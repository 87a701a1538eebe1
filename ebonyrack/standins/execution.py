"""Execution of a session's statements in its transaction."""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ebonyrack.standins import datatypes
from ebonyrack.standins.contract_functions import call_function
from ebonyrack.standins.contract_functions import match_call
from ebonyrack.standins.dialect import Statement
from ebonyrack.standins.dialect import Verb
from ebonyrack.standins.dialect import read_variable_name
from ebonyrack.standins.locks import find_lock_keys
from ebonyrack.standins.log import LoggedStatement
from ebonyrack.standins.log import SqlValue
from ebonyrack.standins.result_set import ResultSet
from ebonyrack.standins.schema import Column
from ebonyrack.standins.sql_error import SqlError
from ebonyrack.standins.transaction import Transaction

if TYPE_CHECKING:
    from ebonyrack.standins.session import StandinSession

SET_VARIABLE = re.compile(
    r"^\s*SET\s+(?:SESSION\s+|LOCAL\s+)?([\w.]+)\s*(?:=|\bTO\b)\s*'?([^']*?)'?\s*$",
    re.IGNORECASE,
)
COUNTED_TAGS = frozenset({"SELECT", "UPDATE", "DELETE"})


class AnswerLostError(Exception):
    """Raised to break the connection after a commit instead of sending its reply."""


@dataclass(slots=True)
class Outcome:
    """Result set and command tag of a statement."""

    result: ResultSet
    tag: str


async def execute(
    session: StandinSession, statement: Statement, values: tuple[SqlValue, ...]
) -> Outcome:
    """Execute one statement.

    Args:
        session: The session.
        statement: The statement.
        values: Parameter values.

    Returns:
        Result set and command tag.

    Raises:
        SqlError: If it fails; an explicit transaction is then marked as failed and an
            implicit one rolled back.
    """
    session.is_executing = True
    try:
        return await dispatch_statement(session, statement, values)
    except asyncio.CancelledError:
        if not session.consume_cancellation():
            raise
        fail_transaction(session)
        raise SqlError("57014", "canceling statement due to user request") from None
    except SqlError:
        fail_transaction(session)
        raise
    finally:
        session.is_executing = False


async def dispatch_statement(
    session: StandinSession, statement: Statement, values: tuple[SqlValue, ...]
) -> Outcome:
    """Check the transaction's state, then run the statement by its kind."""
    transaction = session.transaction
    check_not_terminated(transaction)
    if statement.verb is Verb.COMMIT:
        return end_transaction(session, wants_commit=True)
    if statement.verb is Verb.ROLLBACK:
        return end_transaction(session, wants_commit=False)
    returns_to_savepoint = statement.tag == "ROLLBACK"
    if transaction is not None and transaction.is_failed and not returns_to_savepoint:
        raise SqlError("25P02", "current transaction is aborted")
    if statement.verb is Verb.BEGIN:
        return begin_transaction(session, statement)
    if statement.verb is Verb.SHOW:
        return show_variable(session, statement)
    if statement.verb is Verb.UTILITY:
        return run_utility(session, statement)
    call = match_call(statement.text)
    if call is not None:
        return Outcome(await call_function(session, *call), "SELECT 1")
    if statement.verb is Verb.READ:
        return await run_read(session, statement, values)
    return await run_write(session, statement, values)


def check_not_terminated(transaction: Transaction | None) -> None:
    """Raise a fatal error if the transaction was rolled back for a higher term.

    Raises:
        SqlError: If it was (57P01).
    """
    if transaction is not None and transaction.is_terminated:
        raise SqlError("57P01", "the upstream is no longer primary", fatal=True)


def fail_transaction(session: StandinSession) -> None:
    """Mark an explicit transaction as failed, or roll an implicit one back."""
    transaction = session.transaction
    if transaction is None:
        return
    if transaction.is_explicit:
        transaction.is_failed = True
        return
    session.upstream.rollback(transaction)
    session.transaction = None


def begin_transaction(session: StandinSession, statement: Statement) -> Outcome:
    """Begin an explicit transaction, or make the open implicit one explicit."""
    is_read_only = "ONLY" in statement.words
    if session.transaction is None:
        session.transaction = Transaction(True, is_read_only)
    else:
        session.transaction.is_explicit = True
    return Outcome(ResultSet(), "BEGIN")


def end_transaction(session: StandinSession, wants_commit: bool) -> Outcome:
    """Commit or roll back the open transaction, if there is one."""
    transaction, session.transaction = session.transaction, None
    if transaction is None:
        return Outcome(ResultSet(), "COMMIT" if wants_commit else "ROLLBACK")
    if not wants_commit or transaction.is_failed:
        session.upstream.rollback(transaction)
        return Outcome(ResultSet(), "ROLLBACK")
    commit_transaction(session, transaction)
    return Outcome(ResultSet(), "COMMIT")


def commit_transaction(session: StandinSession, transaction: Transaction) -> None:
    """Commit a transaction, and lose its reply if this fault is injected.

    Raises:
        AnswerLostError: If the reply to this commit must be lost.
    """
    if not transaction.is_writing:
        return
    upstream = session.upstream
    session.last_commit = upstream.commit(transaction, upstream.term)
    if upstream.faults.consume_lost_commit_answer():
        raise AnswerLostError


def commit_implicit_transaction(session: StandinSession) -> None:
    """Commit the implicit transaction at the end of a simple query or at a Sync."""
    transaction = session.transaction
    if transaction is None or transaction.is_explicit:
        return
    session.transaction = None
    commit_transaction(session, transaction)


def show_variable(session: StandinSession, statement: Statement) -> Outcome:
    """Return the value of a setting."""
    name = read_variable_name(statement)
    value = session.parameters.get(name, "")
    if name == "transaction_read_only":
        value = "off" if session.upstream.can_write else "on"
    result = ResultSet([Column(name, datatypes.TEXT)], [(value,)], 1)
    return Outcome(result, "SHOW")


def run_utility(session: StandinSession, statement: Statement) -> Outcome:
    """Run a statement that changes the session's state, such as SET or DISCARD."""
    match = SET_VARIABLE.match(statement.text)
    if match is not None:
        session.set_parameter(match.group(1), match.group(2))
    elif statement.words[0] == "DEALLOCATE":
        name = statement.text.split()[-1].strip('"')
        if name.upper() == "ALL":
            session.extended.statements.clear()
        session.extended.statements.pop(name, None)
    elif statement.words[0] == "DISCARD":
        session.extended.statements.clear()
    return Outcome(ResultSet(), statement.tag)


async def run_read(
    session: StandinSession, statement: Statement, values: tuple[SqlValue, ...]
) -> Outcome:
    """Run a read statement."""
    await session.hold_slot(0.0)
    transaction = session.transaction
    check_not_terminated(transaction)
    write_transaction = transaction if transaction and transaction.is_writing else None
    result = session.upstream.database.read(statement.sql, values, write_transaction)
    return Outcome(result, build_tag(statement, result))


async def run_write(
    session: StandinSession, statement: Statement, values: tuple[SqlValue, ...]
) -> Outcome:
    """Run a write statement, in an implicit transaction if none is open."""
    upstream = session.upstream
    if session.transaction is None:
        session.transaction = Transaction(is_explicit=False)
    transaction = session.transaction
    if transaction.is_read_only:
        raise SqlError(
            "25006", f"cannot execute {statement.tag} in a read-only transaction"
        )
    unique = upstream.database.schema.find_unique_columns()
    lock_keys = find_lock_keys(statement.text, values, unique)
    await upstream.begin_write(transaction, lock_keys)
    await session.hold_slot(0.0)
    check_not_terminated(transaction)
    logged = LoggedStatement(statement.sql, values)
    result = upstream.database.write(logged, transaction)
    if statement.tag == "ROLLBACK":
        transaction.is_failed = False
    return Outcome(result, build_tag(statement, result))


def build_tag(statement: Statement, result: ResultSet) -> str:
    """Build the command tag with its row count."""
    if statement.tag == "INSERT":
        return f"INSERT 0 {result.count}"
    if statement.tag in COUNTED_TAGS:
        return f"{statement.tag} {result.count}"
    return statement.tag
