"""Classifies statement texts, with caches by text and by fingerprint."""

from __future__ import annotations

from collections import OrderedDict

import postgast

from ebonyrack.callers.statement_kinds import UNSHARED_WRITE
from ebonyrack.callers.statement_kinds import Statement
from ebonyrack.callers.statement_kinds import StatementKind
from ebonyrack.callers.statement_kinds import build_unsupported
from ebonyrack.callers.statement_rules import classify_tree

__all__ = ["Statement", "StatementCache", "StatementKind", "classify_statement"]

# Parsing a longer text would block the event loop for too long.
MAXIMUM_TEXT_BYTES = 64 * 1024
# Longer texts are cached by fingerprint only, to limit memory.
MAXIMUM_CACHED_TEXT_CHARACTERS = 2048
MAXIMUM_CACHED_TEXTS = 2048
MAXIMUM_CACHED_FINGERPRINTS = 4096


class StatementCache:
    """LRU caches of classified statements, by exact text and by fingerprint.

    Attributes:
        texts: Statements by text, least recently used first.
        fingerprints: Statements by fingerprint, least recently used first.
    """

    __slots__ = ("texts", "fingerprints")

    def __init__(self) -> None:
        self.texts: OrderedDict[str, Statement] = OrderedDict()
        self.fingerprints: OrderedDict[str, Statement] = OrderedDict()

    def classify(self, sql: str) -> Statement:
        """Classify a text, which is parsed unless it is cached.

        Args:
            sql: Statement text.

        Returns:
            The statement.
        """
        statement = self.texts.get(sql)
        if statement is not None:
            self.texts.move_to_end(sql)
            return statement
        statement = self.classify_by_fingerprint(sql)
        if len(sql) <= MAXIMUM_CACHED_TEXT_CHARACTERS:
            self.texts[sql] = statement
            if len(self.texts) > MAXIMUM_CACHED_TEXTS:
                self.texts.popitem(last=False)
        return statement

    def classify_by_fingerprint(self, sql: str) -> Statement:
        """Classify a text by its cached fingerprint, or else parse it.

        Args:
            sql: Statement text.

        Returns:
            The statement.
        """
        # A UTF-8 character has at most four bytes.
        if len(sql) > MAXIMUM_TEXT_BYTES // 4 and (
            len(sql.encode("utf-8", "replace")) > MAXIMUM_TEXT_BYTES
        ):
            return build_unsupported(
                f"statement text exceeds {MAXIMUM_TEXT_BYTES} bytes"
            )
        try:
            fingerprint = postgast.fingerprint(sql).hex
            statement = self.fingerprints.get(fingerprint)
            if statement is not None:
                self.fingerprints.move_to_end(fingerprint)
                return statement
            statement = classify_tree(postgast.parse(sql))
        except (postgast.PgQueryError, UnicodeEncodeError):
            # The statement is sent to the primary, which reports the error.
            return UNSHARED_WRITE
        if statement.is_shared:
            self.fingerprints[fingerprint] = statement
            if len(self.fingerprints) > MAXIMUM_CACHED_FINGERPRINTS:
                self.fingerprints.popitem(last=False)
        return statement


STATEMENT_CACHE = StatementCache()


def classify_statement(sql: str) -> Statement:
    """Classify a statement text; a text not known to be a read is a write.

    Args:
        sql: Text of a simple query or of a Parse message.

    Returns:
        The statement.
    """
    return STATEMENT_CACHE.classify(sql)
