"""Argument types for argparse."""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from typing import Any

from ebonyrack.building.build_info import read_build_info
from ebonyrack.core.address import Address
from ebonyrack.core.address import parse_address


class VersionAction(argparse.Action):
    """Prints the build that the program would run, and exits."""

    def __init__(self, option_strings: Sequence[str], dest: str, **_: Any) -> None:
        super().__init__(
            option_strings, argparse.SUPPRESS, nargs=0, help="show the build and exit"
        )

    def __call__(self, parser: argparse.ArgumentParser, *_: Any, **__: Any) -> None:
        """Print the version of the project and the digests of what is present."""
        print(read_build_info(is_recorded=False))
        parser.exit()


def parse_address_argument(text: str) -> Address:
    """Parse an address for argparse."""
    try:
        return parse_address(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from None


def parse_peer_argument(text: str) -> tuple[str, Address]:
    """Parse `name=IP:port` for argparse."""
    name, equals, address = text.partition("=")
    if not (name and equals):
        raise argparse.ArgumentTypeError(f"expected name=IP:port, found {text!r}")
    return name, parse_address_argument(address)


def parse_non_negative(text: str) -> float:
    """Parse a number of at least 0 for argparse."""
    try:
        value = float(text)
    except ValueError:
        raise argparse.ArgumentTypeError(f"not a number: {text!r}") from None
    if value < 0:
        raise argparse.ArgumentTypeError(f"must be at least 0: {text!r}")
    return value
