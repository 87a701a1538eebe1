"""Control statements in a pipeline, which the proxy handles itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

from pygwire.messages import Query

from ebonyrack.callers.answers import build_text_columns
from ebonyrack.callers.chunk import Chunk
from ebonyrack.callers.chunk import ChunkItem
from ebonyrack.callers.chunk_replay import LOCAL_ANSWERS
from ebonyrack.callers.chunk_replay import NO_DATA
from ebonyrack.callers.chunk_replay import NO_PARAMETERS
from ebonyrack.callers.dispatch import CONTROL_KINDS
from ebonyrack.callers.dispatch import LOCAL_KINDS
from ebonyrack.callers.dispatch import run_control
from ebonyrack.callers.dispatch import run_local
from ebonyrack.callers.exchange import SimpleRequest
from ebonyrack.callers.statement import StatementKind
from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError

if TYPE_CHECKING:
    from ebonyrack.callers.prepared import PreparedStatement
    from ebonyrack.callers.session import CallerSession
    from ebonyrack.callers.statement_store import StatementStore


async def run_control_chunk(
    session: CallerSession, store: StatementStore, chunk: Chunk
) -> bool:
    """Run the messages that refer to one control statement.

    Args:
        session: The session.
        store: Its prepared statements.
        chunk: The chunk.

    Returns:
        Whether it succeeded.

    Raises:
        RequestError: If it could not be served.
    """
    for item in chunk.items:
        prepared = item.prepared
        assert prepared is not None
        if prepared.statement.kind is StatementKind.UNSUPPORTED:
            raise RequestError(ErrorKind.UNSUPPORTED, prepared.statement.reason)
        if item.message.kind == b"E":
            if not await execute_control(session, prepared):
                return False
        else:
            answer_control(session, store, item, prepared)
    return True


def answer_control(
    session: CallerSession,
    store: StatementStore,
    item: ChunkItem,
    prepared: PreparedStatement,
) -> None:
    """Answer a Parse, Bind or Describe of a control statement.

    Args:
        session: The session.
        store: Its prepared statements.
        item: The message.
        prepared: The statement.
    """
    message = item.message
    if message.kind == b"P":
        store.add(message.statement, prepared)
    if message.kind != b"D":
        session.stream.write(LOCAL_ANSWERS[message.kind])
        return
    columns = NO_DATA
    if prepared.statement.kind is StatementKind.SHOW_VARIABLE:
        columns = build_text_columns((prepared.statement.variable,))
    if message.targets_statement:
        session.stream.write(NO_PARAMETERS)
    session.stream.write(columns)


async def execute_control(session: CallerSession, prepared: PreparedStatement) -> bool:
    """Execute a control statement.

    Args:
        session: The session.
        prepared: The statement.

    Returns:
        Whether it succeeded.

    Raises:
        RequestError: If it could not be served.
    """
    if prepared.statement.kind in LOCAL_KINDS:
        answer = run_local(session, prepared.statement)
        session.stream.write(answer.row + answer.complete)
        return True
    request = SimpleRequest(Query(query_string=prepared.text).to_wire())
    return await run_control(session, prepared.statement, request)


def is_control(item: ChunkItem) -> bool:
    """Return whether a message refers to a control statement.

    Args:
        item: The message.
    """
    if item.message.kind == b"C" or item.prepared is None:
        return False
    return item.prepared.statement.kind in CONTROL_KINDS


def split_into_chunks(items: list[ChunkItem]) -> list[Chunk]:
    """Split messages into chunks, with one chunk for each control statement.

    Args:
        items: Messages in order.

    Returns:
        Chunks in order.
    """
    chunks: list[Chunk] = []
    for item in items:
        extends_last = (
            chunks
            and is_control(chunks[-1].items[0]) == is_control(item)
            and (not is_control(item) or chunks[-1].items[0].prepared is item.prepared)
        )
        if not extends_last:
            chunks.append(Chunk())
        chunks[-1].items.append(item)
    return chunks
