"""Entry point of `ebonyrack-routed`: runs one proxy for routes on the platform."""

from __future__ import annotations

import argparse
import asyncio
import os
import signal
import sys
from pathlib import Path

from loguru import logger
from msgspec import Struct
from result import Err

from ebonyrack.building.build_info import BuildInfo
from ebonyrack.building.build_info import read_build_info
from ebonyrack.core import logs
from ebonyrack.core import metrics
from ebonyrack.core.address import Address
from ebonyrack.core.address import parse_address
from ebonyrack.core.route_settings import RouteProxySettings
from ebonyrack.core.tasks import end_tasks
from ebonyrack.platform.proxy import PlatformProxy
from ebonyrack.platform.settings_file import PATH_VARIABLE
from ebonyrack.platform.settings_file import parse_settings
from ebonyrack.scripts.arguments import VersionAction
from ebonyrack.scripts.settings_text import print_config_errors
from ebonyrack.scripts.settings_text import read_settings_text

EXIT_OK = 0
EXIT_INVALID_SETTINGS = 2
# Only a sample of the successful requests is logged. Failed requests are not sampled.
DEFAULT_DECISION_SAMPLING = 0.02
# Metrics start after the first callers are served, because loading their libraries
# takes a third as long as the whole startup. Reading all modules waits as well.
DEFERRED_START_S = 2.0


class LogArguments(Struct, frozen=True):
    """Logging options of the command line.

    Attributes:
        level: Lowest level that is logged.
        decision_sampling: Share of the decisions on requests that is logged, 0 to 1.
    """

    level: str
    decision_sampling: float


def build_parser() -> argparse.ArgumentParser:
    """Build the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="ebonyrack-routed",
        description="Run one proxy between callers of routes and database groups.",
        epilog="signals: SIGTERM shuts down gracefully, SIGHUP rechecks the settings",
    )
    parser.add_argument(
        "--settings",
        type=Path,
        default=os.environ.get(PATH_VARIABLE),
        help=f"file with the settings (default: the path in {PATH_VARIABLE})",
    )
    parser.add_argument("--log-level", choices=["debug", "info", "warning", "error"])
    parser.add_argument(
        "--log-sampling",
        type=float,
        default=DEFAULT_DECISION_SAMPLING,
        help="share of the decisions on requests that is logged, 0 to 1",
    )
    parser.add_argument(
        "--metrics", type=parse_address, help="IP:port where metrics are served"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument("--version", action=VersionAction)
    return parser


def load_settings(path: Path | None) -> RouteProxySettings | None:
    """Read the settings and print every error in them to standard error.

    Args:
        path: The file, or None if none was given.

    Returns:
        The settings, or None if they are invalid.
    """
    if path is None:
        print(
            f"no settings file given: use --settings or {PATH_VARIABLE}",
            file=sys.stderr,
        )
        return None
    text = read_settings_text(Path(path))
    if text is None:
        return None
    parsed = parse_settings(text, str(path))
    if isinstance(parsed, Err):
        print_config_errors(parsed.err_value)
        return None
    return parsed.ok_value


def recheck_settings(path: Path | None, running: RouteProxySettings) -> None:
    """Read the settings again and log whether they differ from the running ones."""
    settings = load_settings(path)
    if settings is None:
        logger.error("settings_rejected")
        return
    logger.bind(changed=settings != running).info("settings_read_again")


async def run_proxy(
    settings: RouteProxySettings, options: argparse.Namespace, build: BuildInfo
) -> None:
    """Run a proxy until it is shut down.

    Args:
        settings: Checked settings.
        options: Options of the command line.
        build: The build of this process.
    """
    platform_proxy = PlatformProxy(settings)
    drain = platform_proxy.proxy.services.drain
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, drain.request, signal_number.name)
    loop.add_signal_handler(signal.SIGHUP, recheck_settings, options.settings, settings)
    deferred = asyncio.create_task(start_deferred(options.metrics, build))
    async with platform_proxy:
        await platform_proxy.proxy.serve()
    await end_tasks([deferred])


async def start_deferred(metrics_address: Address | None, build: BuildInfo) -> None:
    """Start serving metrics and check the build, after the startup."""
    await asyncio.sleep(DEFERRED_START_S)
    await asyncio.to_thread(metrics.start_metrics, metrics_address, build)
    await asyncio.to_thread(check_modules, build)


def check_modules(build: BuildInfo) -> None:
    """Log whether modules were changed after they were built."""
    present = read_build_info(is_recorded=False)
    if present.modules != build.modules:
        fields = {"built": build.modules, "present": present.modules}
        logger.bind(**fields).warning("modules_changed_after_build")


def main(arguments: list[str] | None = None) -> int:
    """Run the program.

    Args:
        arguments: Command line without the program's name; `sys.argv` if None.

    Returns:
        The exit status.
    """
    options = build_parser().parse_args(arguments)
    settings = load_settings(options.settings)
    if settings is None:
        return EXIT_INVALID_SETTINGS
    if options.check:
        print(f"{options.settings}: no errors")
        return EXIT_OK
    log_arguments = LogArguments(options.log_level or "info", options.log_sampling)
    logs.start_logging(log_arguments, settings.name)
    build = read_build_info()
    logger.bind(**build.list_fields()).info("program_started")
    asyncio.run(run_proxy(settings, options, build))
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
