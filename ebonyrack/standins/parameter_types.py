"""Infers the types of a statement's parameters for the reply to Describe."""

from __future__ import annotations

import re

from ebonyrack.standins import datatypes
from ebonyrack.standins.dialect import INSERT
from ebonyrack.standins.dialect import ROW
from ebonyrack.standins.dialect import read_column_names

CAST = re.compile(r"\$(\d+)\s*::\s*(\w+)")
COMPARISON = re.compile(r"\"?(\w+)\"?\s*(?:=|<>|!=|<=|>=|<|>)\s*\$(\d+)")
REVERSED_COMPARISON = re.compile(r"\$(\d+)\s*(?:=|<>|!=|<=|>=|<|>)\s*\"?(\w+)\"?")
LIMIT = re.compile(r"\b(?:LIMIT|OFFSET)\s+\$(\d+)", re.IGNORECASE)
ARITHMETIC = re.compile(r"[-+*]\s*\$(\d+)")
PARAMETER = re.compile(r"\$(\d+)")


def find_parameter_types(
    text: str, declared_oids: list[int], column_oids: dict[str, int]
) -> list[int]:
    """Infer the type OID of each parameter.

    Args:
        text: PostgreSQL text of the statement.
        declared_oids: Type OIDs of the Parse message, 0 if unspecified.
        column_oids: Type OID of each column name.

    Returns:
        Type OIDs; that of text if the type can't be inferred.
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
    for number, name in REVERSED_COMPARISON.findall(text):
        if name in column_oids:
            found.setdefault(int(number), column_oids[name])
    for number in ARITHMETIC.findall(text):
        found.setdefault(int(number), datatypes.INT8)
    types = []
    for number in range(1, max(count, len(declared_oids)) + 1):
        oid = declared_oids[number - 1] if number <= len(declared_oids) else 0
        types.append(oid or found.get(number, datatypes.TEXT))
    return types


def add_insert_types(
    text: str, column_oids: dict[str, int], found: dict[int, int]
) -> None:
    """Add the types of parameters in the VALUES of an INSERT by their columns."""
    match = INSERT.search(text)
    if match is None:
        return
    names = read_column_names(match.group(2))
    for row in ROW.findall(match.group(3)):
        for name, value in zip(names, row.split(","), strict=False):
            number = PARAMETER.fullmatch(value.strip())
            if number is not None and name in column_oids:
                found.setdefault(int(number.group(1)), column_oids[name])
