"""The operators' document: parsed, checked as a whole, one record for a revision."""

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
        texts: Title of each section to its text.
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
    """Read and check a document as a whole.

    Args:
        text: The INI text.
        revision: Revision that the text is or would become.
        source: Name of the text, for faults.
        previous: A document of which unchanged sections are taken over.

    Returns:
        The document, or None with every fault found.
    """
    document = parse_changes(text, revision, source, previous)
    if document is not None:
        return document, ()
    return parse_whole(text, revision, source)


def parse_whole(
    text: str, revision: int, source: str
) -> tuple[Document | None, tuple[ConfigError, ...]]:
    """Read all sections; list the faults of the whole document."""
    sections, faults = parse_ini(text, source)
    if faults:
        return None, faults
    found: list[ConfigError] = []
    records: Records = {kind: {} for kind in SECTION_KINDS}
    for title, values in sections.items():
        record, section_faults = read_section(title, values, source)
        found.extend(section_faults)
        kind, _, name = title.partition(" ")
        if kind in records and name:
            records[kind][name] = record
    found.extend(check_headers(text, sections, source))
    found.extend(check_references(records, source))
    if found:
        return None, tuple(found)
    return build_document(text, revision, split_sections(text), records), ()


def read_section(
    title: str, values: dict[str, str], source: str
) -> tuple[Any, tuple[ConfigError, ...]]:
    """Read one section by the kind that its title names.

    Args:
        title: Title of the section, such as `group NAME`.
        values: Key to value.
        source: Name of the text, for faults.

    Returns:
        The record, or None with all faults of the section.
    """
    kind, _, name = title.partition(" ")
    if kind not in SECTION_KINDS or not name:
        allowed = ", ".join(f"[{known} NAME]" for known in SECTION_KINDS)
        return None, (ConfigError(source, title, "", f"unknown; allowed: {allowed}"),)
    return check_section(SECTION_KINDS[kind], values, source, title)


def parse_changes(
    text: str, revision: int, source: str, previous: Document
) -> Document | None:
    """Read only the sections that differ from a document.

    Large documents change by a section at a time, and reading all of one would
    hold up the requests of the process.

    Args:
        text: The INI text.
        revision: Revision that the text is or would become.
        source: Name of the text, for faults.
        previous: The document to which it is compared.

    Returns:
        The document, or None if there is any fault.
    """
    texts = split_sections(text)
    known = previous.texts
    changed = {title: body for title, body in texts.items() if known.get(title) != body}
    sections, faults = parse_ini("".join(changed.values()), source)
    is_plain = "".join(texts.values()) == text
    if faults or not is_plain or set(sections) != set(changed) - {PREAMBLE}:
        return None
    records: Records = {kind: {} for kind in SECTION_KINDS}
    for title in texts:
        kind, _, name = title.partition(" ")
        if title in sections:
            record, faults = read_section(title, sections[title], source)
            if faults:
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
    """Build the record of a document that has no faults."""
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
    """Check that sections begin where an edit takes them to begin.

    Who may change what is decided by the text of a section, so there must be no
    second way to write a header, nor values that reach into other sections.

    Args:
        text: The INI text.
        sections: Title to values, as parsed.
        source: Name of the text, for faults.

    Returns:
        One fault for each title that is read in two ways.
    """
    titles = {title for title in split_sections(text) if title}
    return tuple(
        ConfigError(source, title, "", "a header must be [KIND NAME] alone in its line")
        for title in sorted(titles ^ set(sections))
    )
