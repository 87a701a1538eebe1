"""What a proxy tells a home of a statement, and reads in the home's answer."""

from __future__ import annotations

from msgspec import Struct

from ebonyrack.core.errors import ErrorKind
from ebonyrack.core.errors import RequestError
from ebonyrack.core.line_stream import LINE_END
from ebonyrack.core.position import LogPosition
from ebonyrack.handover.asking import NoAnswer
from ebonyrack.handover.statement_messages import HandedAnswer
from ebonyrack.handover.statement_messages import HandedStatement
from ebonyrack.requests.reply import Reply
from ebonyrack.requests.request import RequestKind
from ebonyrack.serving.statement import Statement

# Homes that are asked for one statement.
MAXIMUM_HOMES = 2
# A home ends a statement by itself at its deadline; its answer may be a little later.
LATE_ANSWER_S = 1.0
# Larger statements, with their session values, don't surely fit one message.
MAXIMUM_QUESTION_BYTES = 1800 * 1024
# Errors of a home that another one may not have; they are sent only if nothing ran.
ERRORS_OF_ONE_HOME = frozenset(
    {
        ErrorKind.NO_PRIMARY,
        ErrorKind.NO_UPSTREAM,
        ErrorKind.CUT_OFF,
        ErrorKind.SHUTTING_DOWN,
    }
)


class TransactionStep(Struct, frozen=True):
    """The transaction to which a handed statement belongs.

    Attributes:
        number: Number of the transaction, 0 outside of one.
        begins: Kind of the request that begins it before the statement, or None.
    """

    number: int = 0
    begins: RequestKind | None = None


OUTSIDE = TransactionStep()


def build_question(
    statement: Statement,
    last_commit: LogPosition | None,
    step: TransactionStep,
    version: int,
    sender_version: int,
) -> HandedStatement:
    """Build the message that hands a statement over."""
    request, prepared = statement.request, statement.prepared
    # Upstreams get the arguments of a prepared statement, not the caller's text.
    is_execution = request.kind is RequestKind.EXECUTE
    position = [] if last_commit is None else [last_commit.term, last_commit.offset]
    return HandedStatement(
        version=version,
        sender_version=sender_version,
        database=statement.route.database,
        account=statement.context.account,
        transaction=step.number,
        begins=str(step.begins) if step.begins is not None else "",
        kind=str(request.kind),
        request_id=request.request_id,
        text=b"" if is_execution else request.text,
        name=request.name,
        argument=request.argument,
        prepared_text=prepared.text if prepared is not None else None,
        prepared_writes=prepared is not None and prepared.writes,
        values=statement.context.values,
        last_commit=position,
        waited_s=max(0.0, statement.elapsed_s),
    )


def is_one_message(question: HandedStatement) -> bool:
    """Return whether each field fits its place in one message to an upstream.

    Another version of the proxy may have split or checked the caller's message in
    another way.
    """
    names = [question.request_id or b"", *question.values]
    if question.kind == RequestKind.EXECUTE:
        names.append(question.name)
    texts = [question.text, question.argument, question.prepared_text or b""]
    texts += question.values.values()
    return all(map(is_field, names)) and not any(LINE_END in text for text in texts)


def is_field(name: bytes) -> bool:
    """Return whether a name fits a field that isn't the last one of a message."""
    return bool(name) and b" " not in name and LINE_END not in name


def measure_question(question: HandedStatement) -> int:
    """Return the bytes of the parts of a question that callers choose."""
    values = sum(len(key) + len(value) for key, value in question.values.items())
    prepared = len(question.prepared_text or b"")
    return len(question.text) + len(question.argument) + prepared + values


def name_outcome(answer: HandedAnswer | NoAnswer) -> str:
    """Return the outcome of a handed statement, for logs and metrics."""
    if isinstance(answer, NoAnswer):
        return "unanswered" if answer.may_have_run else "not_run"
    return answer.error or "served"


def is_served_elsewhere(answer: HandedAnswer) -> bool:
    """Return whether another home may serve a statement that one rejected."""
    return answer.error in ERRORS_OF_ONE_HOME


def read_answer(answer: HandedAnswer) -> Reply:
    """Return the reply in a home's answer.

    Raises:
        RequestError: If the statement failed at the home.
    """
    if answer.error:
        raise RequestError(ErrorKind(answer.error), answer.reason, answer.retry_after_s)
    position = LogPosition(*answer.position) if answer.position else None
    return Reply(rows=answer.rows, signature=answer.signature, position=position)
