"""Operations on the document's text: sections, changes and differences."""

from __future__ import annotations

import difflib
import hashlib
import re

from ebonyrack.core.text_file import list_lines

HEADER = re.compile(r"^\[(?P<title>[^\]\n]+)\]", re.MULTILINE)
PREAMBLE = ""
DIGEST_BYTES = 8


def split_sections(text: str) -> dict[str, str]:
    """Split a document into the text of its sections, comments included.

    Args:
        text: The INI text.

    Returns:
        Title to text of each section, header included, in order. Text before the
        first header has an empty title.
    """
    headers = list(HEADER.finditer(text))
    starts = [header.start() for header in headers] + [len(text)]
    sections: dict[str, str] = {}
    preamble = text[: starts[0]]
    if preamble:
        sections[PREAMBLE] = preamble
    for header, start, end in zip(headers, starts[:-1], starts[1:], strict=True):
        sections[header["title"]] = text[start:end]
    return sections


def join_sections(sections: dict[str, str]) -> str:
    """Join the texts of sections into a document."""
    return "".join(
        text if text.endswith("\n") or not text else f"{text}\n"
        for text in sections.values()
    )


def find_changes(base: str, wanted: str) -> dict[str, str | None]:
    """Find the sections that an operator changed.

    Args:
        base: Document that the edit is based on.
        wanted: Document that the operator wants.

    Returns:
        Title of each changed section to its new text, None if it was removed.
    """
    before = split_sections(normalise(base))
    after = split_sections(normalise(wanted))
    changes: dict[str, str | None] = {
        title: text for title, text in after.items() if before.get(title) != text
    }
    changes.update({title: None for title in before if title not in after})
    return changes


def normalise(text: str) -> str:
    """Return a document with a final newline, unless it is empty."""
    return text if not text or text.endswith("\n") else f"{text}\n"


def apply_changes(text: str, changes: dict[str, str | None]) -> str:
    """Replace, add and remove sections; new ones are appended.

    Args:
        text: The document.
        changes: Title to new text, None to remove the section.

    Returns:
        The changed document.
    """
    sections = split_sections(normalise(text))
    for title, body in changes.items():
        if body is None:
            sections.pop(title, None)
        elif title == PREAMBLE:
            sections.pop(title, None)
            sections = {title: body, **sections}
        else:
            sections[title] = body
    return join_sections(sections)


def compute_digest(text: str) -> bytes:
    """Return a short digest for comparing two texts."""
    return hashlib.sha256(text.encode()).digest()[:DIGEST_BYTES]


def build_difference(ours: str, theirs: str, title: str) -> str:
    """Build the unified diff from an operator's section to the one in force.

    Args:
        ours: The operator's text of the section.
        theirs: The text in force.
        title: Title of the section.

    Returns:
        The diff.
    """
    lines = difflib.unified_diff(
        list_lines(ours),
        list_lines(theirs),
        f"yours [{title}]",
        f"in force [{title}]",
    )
    return "".join(lines)
