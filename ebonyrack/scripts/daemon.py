"""Entry point of `ebonyrackd`: checks the settings, then runs one proxy."""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys
from pathlib import Path

from loguru import logger

from ebonyrack.building.build_info import read_build_info
from ebonyrack.core import logs
from ebonyrack.core import metrics
from ebonyrack.core.settings import Settings
from ebonyrack.core.settings import parse_settings
from ebonyrack.scripts.arguments import VersionAction
from ebonyrack.scripts.settings_text import print_config_errors
from ebonyrack.scripts.settings_text import read_settings_text
from ebonyrack.service.proxy import Proxy

EXIT_OK = 0
EXIT_REQUESTS_CUT = 1
EXIT_INVALID_SETTINGS = 2

EPILOG = """\
signals:
  SIGTERM, SIGINT  graceful shutdown: finish running requests, accept no new ones;
                   a second signal, or drain_limit_s, cuts the remaining requests
                   and logs them
  SIGHUP           reload the log settings of the file; the rest needs a restart

exit status: 0 no request was cut, 1 requests were cut, 2 the settings are invalid
"""


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="ebonyrackd",
        description="Run one proxy between callers and database groups.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--config", required=True, type=Path, help="INI file with the settings"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument("--version", action=VersionAction)
    return parser


def load_settings(path: Path) -> Settings | None:
    """Read the settings and print every error in them to standard error.

    Args:
        path: The INI file.

    Returns:
        The settings, or None if they are invalid.
    """
    text = read_settings_text(path)
    if text is None:
        return None
    settings, errors = parse_settings(text, str(path))
    print_config_errors(errors)
    return settings


def reload_logging(path: Path) -> None:
    """Apply the log settings of the file.

    Args:
        path: The INI file.
    """
    settings = load_settings(path)
    if settings is not None:
        logs.start_logging(settings.log, settings.proxy.name)


async def run_proxy(settings: Settings, path: Path) -> int:
    """Run a proxy until it is shut down.

    Args:
        settings: Checked settings.
        path: File of the settings; its log settings are reloaded on SIGHUP.

    Returns:
        The number of requests that the shutdown cut.
    """
    proxy = Proxy(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, proxy.drain.request, signal_number.name)
    loop.add_signal_handler(signal.SIGHUP, reload_logging, path)
    async with proxy:
        return await proxy.serve()


def main(arguments: list[str] | None = None) -> int:
    """Run the program.

    Args:
        arguments: Command line without the program's name; `sys.argv` if None.

    Returns:
        The exit status.
    """
    options = build_parser().parse_args(arguments)
    settings = load_settings(options.config)
    if settings is None:
        return EXIT_INVALID_SETTINGS
    if options.check:
        print(f"{options.config}: no errors")
        return EXIT_OK
    logs.start_logging(settings.log, settings.proxy.name)
    build = read_build_info()
    logger.bind(**build.list_fields()).info("program_started")
    metrics.start_metrics(settings.proxy.metrics_address, build)
    cut_requests = asyncio.run(run_proxy(settings, options.config))
    return EXIT_REQUESTS_CUT if cut_requests else EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
