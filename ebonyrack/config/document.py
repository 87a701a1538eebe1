"""The operators' document: parsed, checked as a whole, one record for a revision."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any

from ebonyrack.config.references import check_references
from ebonyrack.config.sections import ApplicationSection
from ebonyrack.config.sections import GroupSection
from ebonyrack.config.sections import NetworkSection
from ebonyrack.config.sections import OperatorSection
from ebonyrack.config.text import split_sections
from ebonyrack.core.ini import Fault
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
        groups: Database groups by name.
        applications: Booking applications by name.
        networks: Networks by name.
        operators: Operators by name.
    """

    revision: int
    text: str
    groups: dict[str, GroupSection] = field(default_factory=dict)
    applications: dict[str, ApplicationSection] = field(default_factory=dict)
    networks: dict[str, NetworkSection] = field(default_factory=dict)
    operators: dict[str, OperatorSection] = field(default_factory=dict)


EMPTY_DOCUMENT = Document(0, "")


def parse_document(
    text: str, revision: int, source: str = "document"
) -> tuple[Document | None, tuple[Fault, ...]]:
    """Read and check a document as a whole.

    Args:
        text: The INI text.
        revision: Revision that the text is or would become.
        source: Name of the text, for faults.

    Returns:
        The document, or None with every fault found.
    """
    sections, faults = parse_ini(text, source)
    if faults:
        return None, faults
    found: list[Fault] = []
    records: dict[str, dict[str, Any]] = {kind: {} for kind in SECTION_KINDS}
    for title, values in sections.items():
        kind, _, name = title.partition(" ")
        if kind not in SECTION_KINDS or not name:
            allowed = ", ".join(f"[{known} NAME]" for known in SECTION_KINDS)
            found.append(Fault(source, title, "", f"unknown; allowed: {allowed}"))
            continue
        record, section_faults = check_section(
            SECTION_KINDS[kind], values, source, title
        )
        records[kind][name] = record
        found.extend(section_faults)
    found.extend(check_headers(text, sections, source))
    found.extend(check_references(records, source))
    if found:
        return None, tuple(found)
    document = Document(
        revision=revision,
        text=text,
        groups=records["group"],
        applications=records["application"],
        networks=records["network"],
        operators=records["operator"],
    )
    return document, ()


def check_headers(
    text: str, sections: dict[str, dict[str, str]], source: str
) -> tuple[Fault, ...]:
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
        Fault(source, title, "", "a header must be [KIND NAME] alone in its line")
        for title in sorted(titles ^ set(sections))
    )
