"""The extended query protocol of a session: prepared statements and portals."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from pygwire import messages

from ebonyrack.standins import datatypes
from ebonyrack.standins.contract_functions import COLUMNS
from ebonyrack.standins.contract_functions import match_call
from ebonyrack.standins.dialect import Statement
from ebonyrack.standins.dialect import Verb
from ebonyrack.standins.dialect import parse_script
from ebonyrack.standins.dialect import read_variable_name
from ebonyrack.standins.execution import Outcome
from ebonyrack.standins.execution import execute
from ebonyrack.standins.log import SqlValue
from ebonyrack.standins.parameter_types import find_parameter_types
from ebonyrack.standins.rows import encode_row_description
from ebonyrack.standins.rows import encode_rows
from ebonyrack.standins.schema import Column
from ebonyrack.standins.sql_error import SqlError

if TYPE_CHECKING:
    from ebonyrack.standins.session import StandinSession


@dataclass(slots=True)
class PreparedStatement:
    """A prepared statement.

    Attributes:
        statement: The translated statement; None for an empty query text.
        parameter_oids: Type OIDs of the parameters.
        column_names: Names of the result columns at the first Bind; None before.
    """

    statement: Statement | None
    parameter_oids: list[int]
    column_names: list[str] | None = None


@dataclass(slots=True)
class Portal:
    """A bound statement.

    Attributes:
        prepared: Its prepared statement.
        values: Parameter values.
        formats: Result format codes of the Bind message.
        outcome: Its outcome, once it has been executed.
        sent: Number of rows sent so far.
    """

    prepared: PreparedStatement
    values: tuple[SqlValue, ...]
    formats: list[int]
    outcome: Outcome | None = None
    sent: int = 0


@dataclass(slots=True)
class ExtendedQuery:
    """The extended query protocol of one session.

    Attributes:
        session: The session.
        statements: Prepared statements by name.
        portals: Portals by name.
        is_skipping: Whether messages are skipped until the next Sync after an error.
    """

    session: StandinSession
    statements: dict[str, PreparedStatement] = field(default_factory=dict)
    portals: dict[str, Portal] = field(default_factory=dict)
    is_skipping: bool = False

    async def handle(self, message: messages.PGMessage) -> None:
        """Handle one message of the extended protocol."""
        if self.is_skipping:
            return
        try:
            await self.dispatch(message)
        except ValueError as error:
            self.is_skipping = True
            self.session.send_error(SqlError("22P02", str(error)))
        except SqlError as error:
            self.is_skipping = True
            self.session.send_error(error)

    async def dispatch(self, message: messages.PGMessage) -> None:
        """Process a message by its type."""
        match message:
            case messages.Parse():
                self.parse(message)
            case messages.Bind():
                self.bind(message)
            case messages.Describe():
                self.describe(message)
            case messages.Execute():
                await self.execute(message)
            case messages.Close():
                self.close(message)

    def parse(self, message: messages.Parse) -> None:
        """Create a prepared statement."""
        script = parse_script(message.query)
        if len(script) > 1:
            raise SqlError(
                "42601", "cannot insert multiple commands into a prepared statement"
            )
        column_oids = self.session.upstream.database.schema.find_column_oids()
        oids = find_parameter_types(
            message.query, list(message.param_types), column_oids
        )
        statement = script[0] if script else None
        self.statements[message.statement] = PreparedStatement(statement, oids)
        self.session.send(messages.ParseComplete())

    def find_statement(self, name: str) -> PreparedStatement:
        """Return a prepared statement.

        Raises:
            SqlError: If there is none of this name (26000).
        """
        if name not in self.statements:
            raise SqlError("26000", f"prepared statement {name!r} does not exist")
        return self.statements[name]

    def find_portal(self, name: str) -> Portal:
        """Return a portal.

        Raises:
            SqlError: If there is none of this name (34000).
        """
        if name not in self.portals:
            raise SqlError("34000", f"portal {name!r} does not exist")
        return self.portals[name]

    def bind(self, message: messages.Bind) -> None:
        """Create a portal."""
        prepared = self.find_statement(message.statement)
        if len(message.param_values) != len(prepared.parameter_oids):
            raise SqlError(
                "08P01",
                f"bind message supplies {len(message.param_values)} parameters, but"
                f" {len(prepared.parameter_oids)} are required",
            )
        self.check_result_unchanged(prepared)
        values = tuple(
            datatypes.decode_value(
                value, oid, pick_format(message.param_formats, index) == 1
            )
            for index, (value, oid) in enumerate(
                zip(message.param_values, prepared.parameter_oids, strict=True)
            )
        )
        self.portals[message.portal] = Portal(
            prepared, values, list(message.result_formats)
        )
        self.session.send(messages.BindComplete())

    def check_result_unchanged(self, prepared: PreparedStatement) -> None:
        """Reject a statement whose result columns have changed, as PostgreSQL does.

        Raises:
            SqlError: If the result columns have changed (0A000).
        """
        names = [column.name for column in self.find_columns(prepared)]
        if prepared.column_names is None:
            prepared.column_names = names
        elif prepared.column_names != names:
            raise SqlError("0A000", "cached plan must not change result type")

    def describe(self, message: messages.Describe) -> None:
        """Describe a statement or a portal."""
        formats: Sequence[int] = ()
        if message.kind == "S":
            prepared = self.find_statement(message.name)
            self.session.send(messages.ParameterDescription(prepared.parameter_oids))
        else:
            portal = self.find_portal(message.name)
            prepared, formats = portal.prepared, portal.formats
        columns = self.find_columns(prepared)
        if columns:
            self.session.send_buffer += encode_row_description(columns, formats)
        else:
            self.session.send(messages.NoData())

    def find_columns(self, prepared: PreparedStatement) -> list[Column]:
        """Find the result columns of a prepared statement."""
        statement = prepared.statement
        if statement is None:
            return []
        if statement.verb is Verb.SHOW:
            return [Column(read_variable_name(statement), datatypes.TEXT)]
        if statement.verb not in (Verb.READ, Verb.WRITE):
            return []
        call = match_call(statement.text)
        if call is not None:
            return COLUMNS[call[0]]
        is_write = statement.verb is Verb.WRITE and not statement.has_lock
        return self.session.upstream.database.schema.describe(statement.sql, is_write)

    async def execute(self, message: messages.Execute) -> None:
        """Execute a portal, or send its next rows."""
        portal = self.find_portal(message.portal)
        statement = portal.prepared.statement
        if statement is None:
            self.session.send(messages.EmptyQueryResponse())
            return
        if portal.outcome is None:
            portal.outcome = await execute(self.session, statement, portal.values)
        outcome = portal.outcome
        rows = outcome.result.rows[portal.sent :]
        if message.max_rows:
            rows = rows[: message.max_rows]
        columns = outcome.result.columns
        if any(portal.formats):
            columns = self.find_columns(portal.prepared)
        self.session.send_buffer += encode_rows(rows, columns, portal.formats)
        portal.sent += len(rows)
        if portal.sent < len(outcome.result.rows):
            self.session.send(messages.PortalSuspended())
        else:
            self.session.send(messages.CommandComplete(outcome.tag))

    def close(self, message: messages.Close) -> None:
        """Close a statement or a portal."""
        if message.kind == "S":
            self.statements.pop(message.name, None)
        else:
            self.portals.pop(message.name, None)
        self.session.send(messages.CloseComplete())

    def end_batch(self) -> None:
        """Accept messages again after a Sync; portals end with their transaction."""
        self.is_skipping = False
        if self.session.transaction is None:
            self.portals.clear()


def pick_format(formats: Sequence[int], index: int) -> int:
    """Return the format code of a value; a list of one code applies to all values."""
    if not formats:
        return 0
    return formats[index] if len(formats) > 1 else formats[0]
