"""Finds the types of a statement's parameters, as Describe must answer them."""

from __future__ import annotations

import re

from ebonyrack.standins import datatypes
from ebonyrack.standins.dialect import INSERT
from ebonyrack.standins.dialect import ROW
from ebonyrack.standins.dialect import read_column_names

CAST = re.compile(r"\$(\d+)\s*::\s*(\w+)")
COMPARISON = re.compile(r"\"?(\w+)\"?\s*(?:=|<>|!=|<=|>=|<|>)\s*\$(\d+)")
REVERSED = re.compile(r"\$(\d+)\s*(?:=|<>|!=|<=|>=|<|>)\s*\"?(\w+)\"?")
LIMIT = re.compile(r"\b(?:LIMIT|OFFSET)\s+\$(\d+)", re.IGNORECASE)
SUM = re.compile(r"[-+*]\s*\$(\d+)")
PARAMETER = re.compile(r"\$(\d+)")


def find_parameter_types(
    text: str, given: list[int], column_oids: dict[str, int]
) -> list[int]:
    """Find the type number of each parameter.

    Args:
        text: PostgreSQL text of the statement.
        given: Type numbers from the Parse message, 0 when unspecified.
        column_oids: Type of each column name.

    Returns:
        Type numbers, text where nothing tells.
    """
    count = max([int(number) for number in PARAMETER.findall(text)], default=0)
    found: dict[int, int] = {}
    for number, name in CAST.findall(text):
        found.setdefault(int(number), datatypes.type_of_name(name))
    for number in LIMIT.findall(text):
        found.setdefault(int(number), datatypes.INT8)
    add_insert_types(text, column_oids, found)
    for name, number in COMPARISON.findall(text):
        if name in column_oids:
            found.setdefault(int(number), column_oids[name])
    for number, name in REVERSED.findall(text):
        if name in column_oids:
            found.setdefault(int(number), column_oids[name])
    for number in SUM.findall(text):
        found.setdefault(int(number), datatypes.INT8)
    types = []
    for number in range(1, max(count, len(given)) + 1):
        oid = given[number - 1] if number <= len(given) else 0
        types.append(oid or found.get(number, datatypes.TEXT))
    return types


def add_insert_types(
    text: str, column_oids: dict[str, int], found: dict[int, int]
) -> None:
    """Match the columns of an INSERT with the parameters of its VALUES."""
    match = INSERT.search(text)
    if match is None:
        return
    names = read_column_names(match.group(2))
    for row in ROW.findall(match.group(3)):
        for name, value in zip(names, row.split(","), strict=False):
            number = PARAMETER.fullmatch(value.strip())
            if number is not None and name in column_oids:
                found.setdefault(int(number.group(1)), column_oids[name])
