"""Entry point of the operators' tool."""

from __future__ import annotations

import argparse
import asyncio
import getpass
import os
import sys
from pathlib import Path

import argcomplete
from loguru import logger

from ebonyrack.core.address import parse_address
from ebonyrack.core.settings import StoreSettings
from ebonyrack.ops import configuration
from ebonyrack.ops import proxy_commands
from ebonyrack.ops import status
from ebonyrack.ops.base_file import read_text
from ebonyrack.ops.client import ProxyAccess
from ebonyrack.ops.document_access import DirectDocument
from ebonyrack.ops.document_access import DocumentAccess
from ebonyrack.ops.document_access import ProxyDocument
from ebonyrack.ops.exit_status import EXIT_STATUS_HELP
from ebonyrack.ops.exit_status import CommandError
from ebonyrack.ops.exit_status import ExitStatus
from ebonyrack.ops.output import Output
from ebonyrack.ops.timeline import TimelineQuery
from ebonyrack.ops.timeline import show_timeline
from ebonyrack.scripts.arguments import VersionAction
from ebonyrack.scripts.arguments import parse_address_argument
from ebonyrack.store.consul_store import ConsulStore

PROXIES_VARIABLE = "EBONYRACK_PROXIES"
SECRET_VARIABLE = "EBONYRACK_SECRET_FILE"
OPERATOR_VARIABLE = "EBONYRACK_OPERATOR"
PASSWORD_VARIABLE = "EBONYRACK_PASSWORD_FILE"
DEFAULT_TIMEOUT_S = 5.0
DEFAULT_EDIT_LIMIT_S = 10.0
DEFAULT_WAIT_S = 10.0
DEFAULT_HISTORY_EDITS = 20
# The state that a request depends on is at most a few seconds old, and a change of
# primary during the request ends within two seconds.
TIMELINE_BEFORE_S = 5.0
TIMELINE_AFTER_S = 2.0

Commands = argparse._SubParsersAction  # type: ignore[type-arg]


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="ebonyrackctl",
        description="Inspect and control the proxies and the operators' document.",
        epilog=EXIT_STATUS_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action=VersionAction)
    add_access_options(parser)
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("status", help="proxies and groups as seen by one proxy")
    groups = commands.add_parser("groups", help="upstreams of the database groups")
    groups.add_argument("group", nargs="?", default="")
    commands.add_parser("sessions", help="callers' sessions at one proxy")
    drain = commands.add_parser("drain", help="shut a proxy down gracefully")
    drain.add_argument("target", metavar="PROXY", help="name or peer address")
    switchover = commands.add_parser("switchover", help="change a group's primary")
    switchover.add_argument("group")
    switchover.add_argument("--to", default="", help="upstream to promote")
    check = commands.add_parser("check", help="check a document file")
    check.add_argument("file", type=Path)
    add_story_command(commands)
    add_config_commands(commands)
    return parser


def add_story_command(commands: Commands) -> None:
    """Add the command that shows the timeline of a request from logs."""
    story = commands.add_parser("story", help="timeline of one request from logs")
    story.add_argument("request", help="id of the request")
    story.add_argument("log", nargs="+", type=Path, help="logs of proxies")
    story.add_argument("--before", type=float, default=TIMELINE_BEFORE_S, metavar="S")
    story.add_argument("--after", type=float, default=TIMELINE_AFTER_S, metavar="S")


def add_access_options(parser: argparse.ArgumentParser) -> None:
    """Add the options for access to the proxies and the store."""
    environment = os.environ
    parser.add_argument(
        "--proxy",
        action="append",
        type=parse_address_argument,
        metavar="IP:PORT",
        help=f"peer address of a proxy, may be repeated (or {PROXIES_VARIABLE})",
    )
    parser.add_argument(
        "--secret-file",
        type=Path,
        default=environment.get(SECRET_VARIABLE),
        help=f"file with the secret shared by all proxies (or {SECRET_VARIABLE})",
    )
    parser.add_argument(
        "--operator",
        default=environment.get(OPERATOR_VARIABLE) or getpass.getuser(),
        help=f"name of the operator (or {OPERATOR_VARIABLE}; default: the login name)",
    )
    parser.add_argument(
        "--password-file",
        type=Path,
        default=environment.get(PASSWORD_VARIABLE),
        help=f"file with the operator's password (or {PASSWORD_VARIABLE})",
    )
    parser.add_argument(
        "--store",
        type=parse_address_argument,
        metavar="IP:PORT",
        help="read and change the document in the platform's store, without a proxy",
    )
    parser.add_argument("--prefix", default="ebonyrack", help="prefix in the store")
    parser.add_argument("--timeout", type=float, default=DEFAULT_TIMEOUT_S, metavar="S")
    parser.add_argument("--json", action="store_true", help="print JSON")


def add_config_commands(commands: Commands) -> None:
    """Add the commands for the operators' document."""
    config = commands.add_parser("config", help="the operators' document")
    actions = config.add_subparsers(dest="action", required=True)
    get = actions.add_parser("get", help="print the document or write it to a file")
    get.add_argument("--section", default="", metavar="TITLE")
    get.add_argument("file", nargs="?", type=Path)
    edit = actions.add_parser("edit", help="change the document in $EDITOR")
    edit.add_argument("--section", default="", metavar="TITLE")
    add_apply_options(edit)
    apply = actions.add_parser("apply", help="apply a changed file")
    apply.add_argument("file", type=Path)
    add_apply_options(apply)
    difference = actions.add_parser(
        "diff", help="compare a file with the document in force"
    )
    difference.add_argument("file", type=Path)
    history = actions.add_parser("history", help="latest edits")
    history.add_argument("--limit", type=int, default=DEFAULT_HISTORY_EDITS)
    actions.add_parser("status", help="revision that each proxy runs")


def add_apply_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of an edit."""
    parser.add_argument(
        "--edit-id", default="", help="repeat an edit of unknown outcome"
    )
    parser.add_argument(
        "--limit", type=float, default=DEFAULT_EDIT_LIMIT_S, metavar="S"
    )
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until all proxies run the revision, and list them",
    )
    parser.add_argument("--wait-s", type=float, default=DEFAULT_WAIT_S, metavar="S")


def build_access(options: argparse.Namespace) -> ProxyAccess:
    """Build the access to the proxies from the options and the environment.

    Raises:
        CommandError: If no proxy or no secret file is given.
    """
    proxies = options.proxy
    if not proxies:
        addresses = os.environ.get(PROXIES_VARIABLE, "").replace(",", " ").split()
        proxies = [parse_address(address) for address in addresses]
    if not proxies:
        text = f"no proxy given: use --proxy or {PROXIES_VARIABLE}"
        raise CommandError(ExitStatus.USAGE, text)
    if options.secret_file is None:
        text = f"no secret file given: use --secret-file or {SECRET_VARIABLE}"
        raise CommandError(ExitStatus.USAGE, text)
    password_file = options.password_file
    return ProxyAccess(
        proxies=tuple(proxies),
        secret=read_text(Path(options.secret_file)).strip(),
        operator=options.operator,
        password=read_text(Path(password_file)).strip() if password_file else "",
        timeout_s=options.timeout,
    )


async def run_command(options: argparse.Namespace) -> ExitStatus:
    """Run the chosen command; return the exit status of the process."""
    output = Output(options.json)
    return output.choose_status(await dispatch_command(options, output))


async def dispatch_command(options: argparse.Namespace, output: Output) -> ExitStatus:
    """Run the chosen command; return its own status."""
    match options.command:
        case "check":
            return configuration.check_file(options.file, output)
        case "story":
            query = TimelineQuery(
                options.request, tuple(options.log), options.before, options.after
            )
            return show_timeline(query, output)
        case "config" if options.store is not None:
            settings = StoreSettings.model_validate(
                {"address": options.store, "prefix": options.prefix}
            )
            async with ConsulStore(settings) as store:
                return await run_config(DirectDocument(store), options, output)
        case "config":
            document = ProxyDocument(build_access(options))
            return await run_config(document, options, output)
        case "status":
            return await status.show_status(build_access(options), output)
        case "groups":
            access = build_access(options)
            return await status.show_groups(access, options.group, output)
        case "sessions":
            return await status.show_sessions(build_access(options), output)
        case "drain":
            return await proxy_commands.drain(
                build_access(options), options.target, output
            )
        case _:
            access = build_access(options)
            return await proxy_commands.switch_over(
                access, options.group, options.to, output
            )


async def run_config(
    access: DocumentAccess, options: argparse.Namespace, output: Output
) -> ExitStatus:
    """Run a command for the operators' document."""
    match options.action:
        case "get":
            return await configuration.get_document(
                access, options.section, options.file, output
            )
        case "edit":
            apply_options = build_apply_options(options)
            return await configuration.edit_document(
                access, options.section, apply_options, output
            )
        case "apply":
            apply_options = build_apply_options(options)
            return await configuration.apply_file(
                access, options.file, apply_options, output
            )
        case "diff":
            return await configuration.show_difference(access, options.file, output)
        case "history":
            return await configuration.show_history(access, options.limit, output)
        case _:
            if not isinstance(access, ProxyDocument):
                raise CommandError(
                    ExitStatus.USAGE, "config status needs a proxy: omit --store"
                )
            return await configuration.show_revisions(access, output)


def build_apply_options(options: argparse.Namespace) -> configuration.ApplyOptions:
    """Build the options of an edit."""
    wait_s = options.wait_s if options.wait else None
    return configuration.ApplyOptions(
        options.operator, options.edit_id, options.limit, wait_s
    )


def main(arguments: list[str] | None = None) -> int:
    """Run the program.

    Args:
        arguments: Command line without the program's name; `sys.argv` if None.

    Returns:
        The exit status.
    """
    parser = build_parser()
    argcomplete.autocomplete(parser)
    options = parser.parse_args(arguments)
    logger.remove()
    try:
        return asyncio.run(run_command(options))
    except CommandError as error:
        print(f"ebonyrackctl: {error.text}", file=sys.stderr)
        return error.status
    except KeyboardInterrupt:
        return ExitStatus.UNKNOWN


if __name__ == "__main__":
    sys.exit(main())
