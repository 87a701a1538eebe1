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

from ebonyrack import __version__
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
from ebonyrack.scripts.arguments import parse_address_argument
from ebonyrack.store.consul_store import ConsulStore

PROXIES_VARIABLE = "EBONYRACK_PROXIES"
SECRET_VARIABLE = "EBONYRACK_SECRET_FILE"
OPERATOR_VARIABLE = "EBONYRACK_OPERATOR"
PASSWORD_VARIABLE = "EBONYRACK_PASSWORD_FILE"
DEFAULT_TIMEOUT_S = 5.0
DEFAULT_EDIT_LIMIT_S = 10.0
DEFAULT_WAIT_S = 10.0
DEFAULT_HISTORY = 20
# Beliefs that decided on a request are a few seconds old at most; a change of primary
# that it ran into ends within two.
STORY_BEFORE_S = 5.0
STORY_AFTER_S = 2.0

Commands = argparse._SubParsersAction  # type: ignore[type-arg]


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="ebonyrackctl",
        description="Show and steer the proxies and the operators' document.",
        epilog=EXIT_STATUS_HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    add_access_options(parser)
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("status", help="proxies and groups as one proxy sees them")
    groups = commands.add_parser("groups", help="upstreams of the database groups")
    groups.add_argument("group", nargs="?", default="")
    commands.add_parser("sessions", help="callers' sessions of one proxy")
    drain = commands.add_parser("drain", help="shut a proxy down gracefully")
    drain.add_argument("target", metavar="PROXY", help="name or peer address")
    switchover = commands.add_parser("switchover", help="move a group's primary")
    switchover.add_argument("group")
    switchover.add_argument("--to", default="", help="upstream to be primary")
    check = commands.add_parser("check", help="check a document file")
    check.add_argument("file", type=Path)
    add_story_command(commands)
    add_config_commands(commands)
    return parser


def add_story_command(commands: Commands) -> None:
    """Add the command that reads logs."""
    story = commands.add_parser("story", help="what logs tell of one request")
    story.add_argument("request", help="id of the request")
    story.add_argument("log", nargs="+", type=Path, help="logs of proxies")
    story.add_argument("--before", type=float, default=STORY_BEFORE_S, metavar="S")
    story.add_argument("--after", type=float, default=STORY_AFTER_S, metavar="S")


def add_access_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that say how the system is reached."""
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
        help=f"file with the secret that all proxies share (or {SECRET_VARIABLE})",
    )
    parser.add_argument(
        "--operator",
        default=environment.get(OPERATOR_VARIABLE) or getpass.getuser(),
        help=f"name of the operator (or {OPERATOR_VARIABLE}; else the login name)",
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
    """Add the commands on the document."""
    config = commands.add_parser("config", help="the operators' document")
    actions = config.add_subparsers(dest="action", required=True)
    get = actions.add_parser("get", help="print the document, or write it to a file")
    get.add_argument("--section", default="", metavar="TITLE")
    get.add_argument("file", nargs="?", type=Path)
    edit = actions.add_parser("edit", help="change it in $EDITOR")
    edit.add_argument("--section", default="", metavar="TITLE")
    add_apply_options(edit)
    apply = actions.add_parser("apply", help="accept a changed file")
    apply.add_argument("file", type=Path)
    add_apply_options(apply)
    difference = actions.add_parser("diff", help="compare a file with what is in force")
    difference.add_argument("file", type=Path)
    history = actions.add_parser("history", help="the last edits")
    history.add_argument("--limit", type=int, default=DEFAULT_HISTORY)
    actions.add_parser("status", help="which proxy runs which revision")


def add_apply_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of an edit."""
    parser.add_argument("--edit-id", default="", help="repeat an edit that is unknown")
    parser.add_argument(
        "--limit", type=float, default=DEFAULT_EDIT_LIMIT_S, metavar="S"
    )
    parser.add_argument(
        "--wait",
        action="store_true",
        help="wait until all proxies run it, and list them",
    )
    parser.add_argument("--wait-s", type=float, default=DEFAULT_WAIT_S, metavar="S")


def build_access(options: argparse.Namespace) -> ProxyAccess:
    """Build the way to the proxies from the options and the environment.

    Raises:
        CommandError: If something is missing.
    """
    proxies = options.proxy
    if not proxies:
        words = os.environ.get(PROXIES_VARIABLE, "").replace(",", " ").split()
        proxies = [parse_address(word) for word in words]
    if not proxies:
        text = f"name a proxy by --proxy or {PROXIES_VARIABLE}"
        raise CommandError(ExitStatus.USAGE, text)
    if options.secret_file is None:
        text = f"name the secret's file by --secret-file or {SECRET_VARIABLE}"
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
    """Run the chosen command; return the exit status."""
    output = Output(options.json)
    return output.choose_status(await dispatch_command(options, output))


async def dispatch_command(options: argparse.Namespace, output: Output) -> ExitStatus:
    """Run the chosen command; return what came of it."""
    match options.command:
        case "check":
            return configuration.check_file(options.file, output)
        case "story":
            question = TimelineQuery(
                options.request, tuple(options.log), options.before, options.after
            )
            return show_timeline(question, output)
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
    """Run a command on the document."""
    match options.action:
        case "get":
            return await configuration.get_document(
                access, options.section, options.file, output
            )
        case "edit":
            chosen = build_apply_options(options)
            return await configuration.edit_document(
                access, options.section, chosen, output
            )
        case "apply":
            chosen = build_apply_options(options)
            return await configuration.apply_file(access, options.file, chosen, output)
        case "diff":
            return await configuration.show_difference(access, options.file, output)
        case "history":
            return await configuration.show_history(access, options.limit, output)
        case _:
            if not isinstance(access, ProxyDocument):
                raise CommandError(ExitStatus.USAGE, "config status needs a proxy")
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
        arguments: Command line without the program's name; None takes sys.argv.

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
