"""Parsing and validation of the operators' document."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any

from ebonyrack.config.references import Records
from ebonyrack.config.references import check_references
from ebonyrack.config.sections import ApplicationSection
from ebonyrack.config.sections import GroupSection
from ebonyrack.config.sections import NetworkSection
from ebonyrack.config.sections import OperatorSection
from ebonyrack.config.text import PREAMBLE
from ebonyrack.config.text import split_sections
from ebonyrack.core.config_error import ConfigError
from ebonyrack.core.ini import Section
from ebonyrack.core.ini import check_section
from ebonyrack.core.ini import parse_ini

SECTION_KINDS: dict[str, type[Section]] = {
    "group": GroupSection,
    "application": ApplicationSection,
    "network": NetworkSection,
    "operator": OperatorSection,
}


@dataclass(frozen=True, slots=True)
class Document:
    """One revision of the operators' document.

    Attributes:
        revision: Number of the revision; 0 is the empty document.
        text: The INI text.
        texts: Text of each section by its title.
        groups: Database groups by name.
        applications: Booking applications by name.
        networks: Networks by name.
        operators: Operators by name.
    """

    revision: int
    text: str
    texts: dict[str, str] = field(default_factory=dict, repr=False)
    groups: dict[str, GroupSection] = field(default_factory=dict)
    applications: dict[str, ApplicationSection] = field(default_factory=dict)
    networks: dict[str, NetworkSection] = field(default_factory=dict)
    operators: dict[str, OperatorSection] = field(default_factory=dict)


EMPTY_DOCUMENT = Document(0, "")


def parse_document(
    text: str,
    revision: int,
    source: str = "document",
    previous: Document = EMPTY_DOCUMENT,
) -> tuple[Document | None, tuple[ConfigError, ...]]:
    """Parse and validate a document.

    Args:
        text: The INI text.
        revision: Revision that the text is or would become.
        source: Name of the text, for error messages.
        previous: Document whose unchanged sections are reused.

    Returns:
        The document, or None with every error found.
    """
    document = parse_changed_sections(text, revision, source, previous)
    if document is not None:
        return document, ()
    return parse_all_sections(text, revision, source)


def parse_all_sections(
    text: str, revision: int, source: str
) -> tuple[Document | None, tuple[ConfigError, ...]]:
    """Parse all sections and collect the errors of the whole document."""
    sections, errors = parse_ini(text, source)
    if errors:
        return None, errors
    all_errors: list[ConfigError] = []
    records: Records = {kind: {} for kind in SECTION_KINDS}
    for title, values in sections.items():
        record, section_errors = parse_section(title, values, source)
        all_errors.extend(section_errors)
        kind, _, name = title.partition(" ")
        if kind in records and name:
            records[kind][name] = record
    all_errors.extend(check_headers(text, sections, source))
    all_errors.extend(check_references(records, source))
    if all_errors:
        return None, tuple(all_errors)
    return build_document(text, revision, split_sections(text), records), ()


def parse_section(
    title: str, values: dict[str, str], source: str
) -> tuple[Any, tuple[ConfigError, ...]]:
    """Parse one section according to the kind in its title.

    Args:
        title: Title of the section, such as `group NAME`.
        values: Key to value.
        source: Name of the text, for error messages.

    Returns:
        The record, or None with all errors of the section.
    """
    kind, _, name = title.partition(" ")
    if kind not in SECTION_KINDS or not name:
        allowed = ", ".join(f"[{known} NAME]" for known in SECTION_KINDS)
        return None, (ConfigError(source, title, "", f"unknown; allowed: {allowed}"),)
    return check_section(SECTION_KINDS[kind], values, source, title)


def parse_changed_sections(
    text: str, revision: int, source: str, previous: Document
) -> Document | None:
    """Parse only the sections that differ from a previous document.

    Large documents change one section at a time, and parsing all of one would
    delay the requests that the process serves.

    Args:
        text: The INI text.
        revision: Revision that the text is or would become.
        source: Name of the text, for error messages.
        previous: Document to compare with.

    Returns:
        The document, or None if there is any error.
    """
    texts = split_sections(text)
    known = previous.texts
    changed = {title: body for title, body in texts.items() if known.get(title) != body}
    sections, errors = parse_ini("".join(changed.values()), source)
    is_lossless_split = "".join(texts.values()) == text
    if errors or not is_lossless_split or set(sections) != set(changed) - {PREAMBLE}:
        return None
    records: Records = {kind: {} for kind in SECTION_KINDS}
    for title in texts:
        kind, _, name = title.partition(" ")
        if title in sections:
            record, errors = parse_section(title, sections[title], source)
            if errors:
                return None
            records[kind][name] = record
        elif title != PREAMBLE:
            records[kind][name] = get_records(previous)[kind][name]
    if check_references(records, source):
        return None
    return build_document(text, revision, texts, records)


def get_records(document: Document) -> Records:
    """Return the sections of a document by kind and name."""
    return {
        "group": document.groups,
        "application": document.applications,
        "network": document.networks,
        "operator": document.operators,
    }


def build_document(
    text: str, revision: int, texts: dict[str, str], records: Records
) -> Document:
    """Build a document from records without errors."""
    return Document(
        revision=revision,
        text=text,
        texts=texts,
        groups=records["group"],
        applications=records["application"],
        networks=records["network"],
        operators=records["operator"],
    )


def check_headers(
    text: str, sections: dict[str, dict[str, str]], source: str
) -> tuple[ConfigError, ...]:
    """Check that the INI parser and `split_sections` find the same sections.

    Permission to change a section depends on its text as split, so there must be
    no second way to write a header and no value that extends into other sections.

    Args:
        text: The INI text.
        sections: Title to values, as parsed.
        source: Name of the text, for error messages.

    Returns:
        One error for each title that only one of the two finds.
    """
    titles = {title for title in split_sections(text) if title}
    return tuple(
        ConfigError(source, title, "", "a header must be [KIND NAME] alone on its line")
        for title in sorted(titles ^ set(sections))
    )
