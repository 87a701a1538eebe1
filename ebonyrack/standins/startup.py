"""Startup and authentication of a connection to a stand-in upstream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from pygwire import ConnectionPhase
from pygwire import messages

from ebonyrack.standins.replication import REPLICA_PARAMETER
from ebonyrack.standins.replication import LogSender
from ebonyrack.standins.sql_error import SqlError

if TYPE_CHECKING:
    from ebonyrack.standins.session import StandinSession

REPORTED_PARAMETERS = {
    "server_version": "16.0",
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "application_name": "",
    "DateStyle": "ISO, MDY",
    "IntervalStyle": "postgres",
    "TimeZone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "is_superuser": "off",
    "default_transaction_read_only": "off",
}


async def start_session(session: StandinSession) -> bool:
    """Perform the startup.

    Returns:
        Whether the session is ready for queries.
    """
    while True:
        message = await session.next_message()
        match message:
            case messages.SSLRequest():
                session.send(messages.SSLResponse(accepted=False))
            case messages.GSSEncRequest():
                session.send(messages.GSSResponse(accepted=False))
            case messages.CancelRequest():
                session.upstream.cancel(message.process_id, message.secret_key)
                return False
            case messages.StartupMessage():
                if REPLICA_PARAMETER in message.params:
                    await send_log(session, message.params[REPLICA_PARAMETER])
                    return False
                if await process_startup(session, message.params):
                    return True
            case messages.PasswordMessage():
                check_password(session, message)
                await complete_startup(session)
                return True


async def send_log(session: StandinSession, replica_name: str) -> None:
    """Stream the log to a replica over this connection."""
    sender = LogSender(session.upstream, session.reader, session.writer, replica_name)
    if session.decoder.buffered:
        sender.frames.unpacker.feed(session.last_received[-session.decoder.buffered :])
    await sender.run()


async def process_startup(session: StandinSession, params: dict[str, str]) -> bool:
    """Check the connection limit and the user of a startup message.

    Returns:
        Whether the startup is complete; otherwise a password was requested.
    """
    options = session.upstream.options
    is_administrator = params.get("user") == options.administrator
    if session.upstream.is_full and not is_administrator:
        session.send_error(SqlError("53300", "too many connections", fatal=True))
    session.upstream.sessions[session.process_id] = session
    if options.connection_cost_s:
        await asyncio.sleep(options.connection_cost_s)
    users = (options.user, options.administrator)
    if options.user and params.get("user") not in users:
        session.send_error(SqlError("28000", "unknown user", fatal=True))
    for name, value in params.items():
        session.parameters[name.lower()] = value
    if options.password:
        session.send(messages.AuthenticationCleartextPassword())
        session.decoder.phase = ConnectionPhase.AUTHENTICATING
        return False
    await complete_startup(session)
    return True


def check_password(session: StandinSession, message: messages.PasswordMessage) -> None:
    """Reject the connection if the password is wrong."""
    if message.password != session.upstream.options.password:
        session.send_error(SqlError("28P01", "wrong password", fatal=True))


async def complete_startup(session: StandinSession) -> None:
    """Send the session parameters and ReadyForQuery after authentication."""
    session.decoder.phase = ConnectionPhase.READY
    session.send(messages.AuthenticationOk())
    for name in REPORTED_PARAMETERS:
        value = session.parameters[name.lower()]
        session.send(messages.ParameterStatus(name, value))
    session.send(messages.BackendKeyData(session.process_id, session.secret_key))
    session.send_ready()
    await session.flush()
