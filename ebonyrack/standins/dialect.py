"""Translates PostgreSQL statements to the SQL dialect of the stand-in's engine."""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import StrEnum
from functools import lru_cache

CACHED_STATEMENTS = 4096

TOKEN = re.compile(
    r"""
    (?P<comment>--[^\n]*|/\*.*?\*/)
  | (?P<string>'(?:[^']|'')*')
  | (?P<quoted>"(?:[^"]|"")*")
  | (?P<parameter>\$\d+)
  | (?P<cast>::\s*[A-Za-z_][A-Za-z_0-9]*(?:\s+precision|\s+varying)?(?:\(\d+\))?)
  | (?P<lock>\bFOR\s+(?:NO\s+KEY\s+UPDATE|UPDATE|KEY\s+SHARE|SHARE)
        (?:\s+OF\s+\w+)?(?:\s+(?:NOWAIT|SKIP\s+LOCKED))?)
  | (?P<now>\b(?:now\s*\(\s*\)|current_timestamp\b))
  | (?P<word>[A-Za-z_][A-Za-z_0-9]*)
  | (?P<number>\d+(?:\.\d+)?)
  | (?P<space>\s+)
  | (?P<semicolon>;)
  | (?P<other>.)
    """,
    re.VERBOSE | re.IGNORECASE | re.DOTALL,
)

# Captures the table, the column names and the rows.
INSERT = re.compile(
    r"\bINSERT\s+INTO\s+\"?(\w+)\"?\s*\(([^)]*)\)\s*VALUES\s*(.*)",
    re.IGNORECASE | re.DOTALL,
)
ROW = re.compile(r"\(([^()]*)\)")

AFFINITIES = {
    "int": "INTEGER",
    "int2": "INTEGER",
    "int4": "INTEGER",
    "int8": "INTEGER",
    "integer": "INTEGER",
    "bigint": "INTEGER",
    "smallint": "INTEGER",
    "bool": "INTEGER",
    "boolean": "INTEGER",
    "float4": "REAL",
    "float8": "REAL",
    "real": "REAL",
    "double": "REAL",
    "text": "TEXT",
    "varchar": "TEXT",
    "char": "TEXT",
}
REPLACED_WORDS = {"SERIAL": "INTEGER", "BIGSERIAL": "INTEGER", "ILIKE": "LIKE"}
CASTABLE_TOKENS = frozenset({"parameter", "string", "number", "word", "quoted"})


class Verb(StrEnum):
    """Kind of a statement, which determines how the stand-in executes it."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SHOW = "show"
    UTILITY = "utility"
    EMPTY = "empty"


VERBS = {
    "SELECT": Verb.READ,
    "VALUES": Verb.READ,
    "EXPLAIN": Verb.READ,
    "BEGIN": Verb.BEGIN,
    "START": Verb.BEGIN,
    "COMMIT": Verb.COMMIT,
    "END": Verb.COMMIT,
    "ROLLBACK": Verb.ROLLBACK,
    "ABORT": Verb.ROLLBACK,
    "SHOW": Verb.SHOW,
    "SET": Verb.UTILITY,
    "RESET": Verb.UTILITY,
    "DISCARD": Verb.UTILITY,
    "DEALLOCATE": Verb.UTILITY,
    "CLOSE": Verb.UTILITY,
    "UNLISTEN": Verb.UTILITY,
    "LISTEN": Verb.UTILITY,
}
WRITING_WORDS = frozenset({"INSERT", "UPDATE", "DELETE"})
TAG_WORDS = {"CREATE": 2, "DROP": 2, "ALTER": 2, "DISCARD": 2, "CLOSE": 1}


@dataclass(frozen=True, slots=True)
class Statement:
    """A translated statement.

    Attributes:
        text: PostgreSQL text.
        sql: Text for the engine.
        verb: Kind of the statement.
        tag: Command tag without the row count.
        words: Keywords and identifiers in upper case.
        has_lock: Whether it has a locking clause such as FOR UPDATE.
    """

    text: str
    sql: str
    verb: Verb
    tag: str
    words: tuple[str, ...]
    has_lock: bool


@lru_cache(CACHED_STATEMENTS)
def parse_script(text: str) -> tuple[Statement, ...]:
    """Split a script at its semicolons and translate each statement.

    Args:
        text: PostgreSQL text of a simple query.

    Returns:
        The non-empty statements.
    """
    statements = []
    tokens: list[re.Match[str]] = []
    for match in TOKEN.finditer(text):
        if match.lastgroup == "semicolon":
            statements.append(build_statement(tokens))
            tokens = []
        else:
            tokens.append(match)
    statements.append(build_statement(tokens))
    return tuple(item for item in statements if item.verb is not Verb.EMPTY)


def build_statement(tokens: list[re.Match[str]]) -> Statement:
    """Translate the tokens of one statement."""
    text = "".join(token.group() for token in tokens).strip()
    words = tuple(
        token.group().upper() for token in tokens if token.lastgroup == "word"
    )
    has_lock = any(token.lastgroup == "lock" for token in tokens)
    if not words:
        return Statement(text, "", Verb.EMPTY, "", (), False)
    verb = choose_verb(words, has_lock)
    tag = build_tag(words, verb)
    return Statement(text, translate(tokens), verb, tag, words, has_lock)


def choose_verb(words: tuple[str, ...], has_lock: bool) -> Verb:
    """Return the kind of a statement by its words."""
    if words[0] == "ROLLBACK" and "TO" in words:
        return Verb.WRITE
    if words[0] == "WITH" and not WRITING_WORDS.intersection(words):
        return Verb.READ
    verb = VERBS.get(words[0], Verb.WRITE)
    if verb is Verb.READ and has_lock:
        return Verb.WRITE
    return verb


def build_tag(words: tuple[str, ...], verb: Verb) -> str:
    """Build the command tag without the row count."""
    first = words[0]
    if verb is Verb.READ or (first in ("SELECT", "WITH") and verb is Verb.WRITE):
        kinds = [word for word in words if word in WRITING_WORDS]
        return kinds[-1] if kinds and first == "WITH" else "SELECT"
    if first in ("START", "END", "ABORT"):
        return {"START": "START TRANSACTION", "END": "COMMIT"}.get(first, "ROLLBACK")
    if first == "TRUNCATE":
        return "TRUNCATE TABLE"
    return " ".join(words[: TAG_WORDS.get(first, 1)])


def translate(tokens: list[re.Match[str]]) -> str:
    """Build the engine's SQL text of one statement."""
    parts: list[str] = []
    last_index = -1
    last_kind = ""
    for token in tokens:
        kind, text = token.lastgroup or "", token.group()
        if kind == "comment" or kind == "lock":
            parts.append(" ")
            continue
        if kind == "cast":
            apply_cast(parts, last_index, last_kind, text)
            continue
        if kind == "now":
            after_default = last_index >= 0 and parts[last_index].upper() == "DEFAULT"
            text = "(now())" if after_default else "now()"
        elif kind == "parameter":
            text = "?" + text[1:]
        elif kind == "word":
            text = REPLACED_WORDS.get(text.upper(), text)
        parts.append(text)
        if kind != "space":
            last_index, last_kind = len(parts) - 1, kind
    sql = "".join(parts).strip()
    return re.sub(r"(?i)^TRUNCATE(\s+TABLE)?\b", "DELETE FROM", sql)


def apply_cast(parts: list[str], index: int, kind: str, cast: str) -> None:
    """Replace the token before a `::type` cast by a CAST to the type's affinity.

    Casts to other types and of other expressions are dropped.
    """
    match = re.match(r"::\s*(\w+)", cast)
    affinity = AFFINITIES.get(match.group(1).lower()) if match else None
    if affinity is not None and index >= 0 and kind in CASTABLE_TOKENS:
        parts[index] = f"CAST({parts[index]} AS {affinity})"


def read_column_names(text: str) -> list[str]:
    """Parse the column names of an INSERT."""
    return [name.strip().strip('"') for name in text.split(",")]


def read_variable_name(statement: Statement) -> str:
    """Return the name of the setting that a SHOW statement reads."""
    return statement.text.split(None, 1)[1].strip().lower()
