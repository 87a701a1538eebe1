"""Classification of statement texts, cached by text and by fingerprint."""

from __future__ import annotations

from collections import OrderedDict

import postgast

from ebonyrack.callers.statement_kinds import UNSURE
from ebonyrack.callers.statement_kinds import Statement
from ebonyrack.callers.statement_kinds import StatementKind
from ebonyrack.callers.statement_kinds import refuse
from ebonyrack.callers.statement_rules import classify_tree

__all__ = ["Statement", "StatementCache", "StatementKind", "classify_statement"]

# Parsing a longer text would hold up the event loop for too long.
MAXIMUM_TEXT_BYTES = 64 * 1024
# Longer texts are looked up by fingerprint only, which bounds the cache's memory.
CACHED_TEXT_CHARACTERS = 2048
CACHED_TEXTS = 2048
CACHED_FINGERPRINTS = 4096


class StatementCache:
    """Classified statements, by exact text and by fingerprint.

    Attributes:
        texts: Text to statement, the one used last at the end.
        fingerprints: Fingerprint to statement, the one used last at the end.
    """

    __slots__ = ("texts", "fingerprints")

    def __init__(self) -> None:
        self.texts: OrderedDict[str, Statement] = OrderedDict()
        self.fingerprints: OrderedDict[str, Statement] = OrderedDict()

    def classify(self, sql: str) -> Statement:
        """Return what is known about a text, parsing it if need be.

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
        if len(sql) <= CACHED_TEXT_CHARACTERS:
            self.texts[sql] = statement
            if len(self.texts) > CACHED_TEXTS:
                self.texts.popitem(last=False)
        return statement

    def classify_by_fingerprint(self, sql: str) -> Statement:
        """Look a text up by its fingerprint, or parse it.

        Args:
            sql: Statement text.

        Returns:
            The statement.
        """
        # A character takes at most four bytes.
        if len(sql) > MAXIMUM_TEXT_BYTES // 4 and (
            len(sql.encode("utf-8", "replace")) > MAXIMUM_TEXT_BYTES
        ):
            return refuse(f"the text is longer than {MAXIMUM_TEXT_BYTES} bytes")
        try:
            fingerprint = postgast.fingerprint(sql).hex
            statement = self.fingerprints.get(fingerprint)
            if statement is not None:
                self.fingerprints.move_to_end(fingerprint)
                return statement
            statement = classify_tree(postgast.parse(sql))
        except (postgast.PgQueryError, UnicodeEncodeError):
            # The primary gives the error in its own words.
            return UNSURE
        if statement.is_literal_free:
            self.fingerprints[fingerprint] = statement
            if len(self.fingerprints) > CACHED_FINGERPRINTS:
                self.fingerprints.popitem(last=False)
        return statement


CACHE = StatementCache()


def classify_statement(sql: str) -> Statement:
    """Classify a statement text; whatever is not surely a read is a write.

    Args:
        sql: Text of a simple query or of a Parse message.

    Returns:
        What is known about it.
    """
    return CACHE.classify(sql)
