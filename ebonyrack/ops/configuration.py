"""Commands on the operators' document."""

from __future__ import annotations

import sys
import uuid
from dataclasses import dataclass
from dataclasses import replace
from datetime import UTC
from datetime import datetime
from pathlib import Path
from typing import Any

from ebonyrack.config.document import parse_document
from ebonyrack.config.edit import Edit
from ebonyrack.config.edit import build_edit
from ebonyrack.config.stored import EditRecord
from ebonyrack.config.stored import StoredDocument
from ebonyrack.config.text import apply_changes
from ebonyrack.config.text import build_difference
from ebonyrack.config.text import find_changes
from ebonyrack.config.text import split_sections
from ebonyrack.ops.base_file import find_base_path
from ebonyrack.ops.base_file import read_base
from ebonyrack.ops.base_file import read_text
from ebonyrack.ops.base_file import write_files
from ebonyrack.ops.document_access import DocumentAccess
from ebonyrack.ops.document_access import ProxyDocument
from ebonyrack.ops.document_access import is_everywhere
from ebonyrack.ops.editor import keep_text
from ebonyrack.ops.editor import run_editor
from ebonyrack.ops.exit_status import CommandError
from ebonyrack.ops.exit_status import ExitStatus
from ebonyrack.ops.output import Output
from ebonyrack.ops.tables import format_table
from ebonyrack.peers.edit_messages import EditReply

# How the text before the first section is named in a list of sections.
PREAMBLE = "(preamble)"
OUTCOME_STATUS = {
    "accepted": ExitStatus.OK,
    "refused": ExitStatus.REFUSED,
    "not_accepted": ExitStatus.NOT_ACCEPTED,
    "unknown": ExitStatus.UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class ApplyOptions:
    """How an edit is applied.

    Attributes:
        operator: Name of the operator.
        edit_id: Identity of an earlier attempt, or empty for a new edit.
        limit_s: Seconds within which the edit is to be accepted.
        wait_s: Seconds to wait until all proxies run it, or None.
    """

    operator: str
    edit_id: str
    limit_s: float
    wait_s: float | None


async def get_document(
    access: DocumentAccess, section: str, path: Path | None, output: Output
) -> ExitStatus:
    """Print the document or one section, or write it to a file to edit."""
    document = await access.read()
    if path is not None:
        write_files(path, document)
        output.note(f"revision {document.revision} written to {path}")
        return ExitStatus.OK
    text = document.text
    if section:
        sections = split_sections(text)
        if section not in sections:
            raise CommandError(ExitStatus.REFUSED, f"there is no section [{section}]")
        text = sections[section]
    output.show({"revision": document.revision, "text": text}, text.rstrip("\n"))
    output.note(f"revision {document.revision}")
    return ExitStatus.OK


async def apply_file(
    access: DocumentAccess, path: Path, options: ApplyOptions, output: Output
) -> ExitStatus:
    """Apply a file; its base, if there is one, tells what the operator changed."""
    wanted = read_text(path)
    base = read_base(path) or await access.read()
    status = await apply_text(access, base, wanted, options, output)
    if status is ExitStatus.OK and find_base_path(path).exists():
        write_files(path, await access.read())
    return status


async def apply_text(
    access: DocumentAccess,
    base: StoredDocument,
    wanted: str,
    options: ApplyOptions,
    output: Output,
) -> ExitStatus:
    """Apply a whole text as an edit of its base."""
    edit_id = options.edit_id or uuid.uuid4().hex
    edit = build_edit(edit_id, options.operator, base, wanted)
    if not edit.changes and not options.edit_id:
        output.show({"outcome": "unchanged"}, "nothing changed")
        return ExitStatus.OK
    check_locally(apply_changes(base.text, edit.changes))
    edit = replace(edit, is_repeat=bool(options.edit_id))
    reply = await access.change(edit, options.limit_s)
    return await report_outcome(access, edit, reply, options, output)


def check_locally(text: str) -> None:
    """Refuse a text with faults before anything is sent."""
    document, faults = parse_document(text, 0)
    if document is None:
        lines = "\n".join(str(fault) for fault in faults)
        raise CommandError(ExitStatus.REFUSED, lines)


async def report_outcome(
    access: DocumentAccess,
    edit: Edit,
    reply: EditReply,
    options: ApplyOptions,
    output: Output,
) -> ExitStatus:
    """Print what became of an edit and where it is in force."""
    status = OUTCOME_STATUS[reply.outcome]
    report: dict[str, Any] = {
        "outcome": reply.outcome,
        "edit_id": edit.edit_id,
        "revision": reply.revision,
        "reasons": list(reply.reasons),
        "difference": reply.difference,
        "sections": sorted(edit.changes),
    }
    lines = [describe_outcome(edit, reply), *reply.reasons, reply.difference.rstrip()]
    wait_s = options.wait_s if status is ExitStatus.OK else None
    if wait_s is not None and isinstance(access, ProxyDocument):
        revisions = await access.wait_everywhere(reply.revision, wait_s)
        report["proxies"] = revisions
        lines.append(format_table(["PROXY", "REVISION"], describe_revisions(revisions)))
        if not is_everywhere(revisions, reply.revision):
            status = ExitStatus.NOT_EVERYWHERE
    output.show(report, "\n".join(line for line in lines if line))
    return status


def describe_outcome(edit: Edit, reply: EditReply) -> str:
    """Return one line that tells the outcome of an edit."""
    if reply.outcome == "accepted":
        return f"accepted as revision {reply.revision}"
    if reply.outcome == "unknown":
        return f"unknown; repeat with --edit-id {edit.edit_id}"
    return reply.outcome.replace("_", " ")


def describe_revisions(revisions: dict[str, int]) -> list[tuple[str, str]]:
    """Return name and revision of each proxy."""
    return [
        (name, str(revision) if revision else "not reached")
        for name, revision in sorted(revisions.items())
    ]


async def edit_document(
    access: DocumentAccess, section: str, options: ApplyOptions, output: Output
) -> ExitStatus:
    """Open the document or one section in the operator's editor and apply it."""
    base = await access.read()
    sections = split_sections(base.text)
    before = sections.get(section, f"[{section}]\n") if section else base.text
    after = run_editor(before)
    if after == before:
        output.show({"outcome": "unchanged"}, "nothing changed")
        return ExitStatus.OK
    wanted = apply_changes(base.text, {section: after}) if section else after
    status = await apply_text(access, base, wanted, options, output)
    if status is not ExitStatus.OK:
        output.note(f"your text is kept in {keep_text(after)}")
    return status


async def show_difference(
    access: DocumentAccess, path: Path, output: Output
) -> ExitStatus:
    """Print how a file differs from the document in force."""
    wanted = read_text(path)
    document = await access.read()
    sections = split_sections(document.text)
    changes = find_changes(document.text, wanted)
    parts = [
        build_difference(text or "", sections.get(title, ""), title)
        for title, text in changes.items()
    ]
    difference = "".join(parts)
    report = {"revision": document.revision, "difference": difference}
    output.show(report, difference.rstrip() or "no difference")
    return ExitStatus.OK


async def show_history(
    access: DocumentAccess, limit: int, output: Output
) -> ExitStatus:
    """Print the last edits, newest first."""
    document = await access.read()
    edits = list(reversed(document.history))[:limit]
    report = [describe_edit(edit) for edit in edits]
    rows = [
        (
            entry["revision"],
            entry["accepted_at"],
            entry["operator"],
            ", ".join(title or PREAMBLE for title in entry["sections"]),
            entry["edit_id"],
        )
        for entry in report
    ]
    titles = ["REVISION", "ACCEPTED", "OPERATOR", "SECTIONS", "EDIT"]
    output.show(report, format_table(titles, rows))
    return ExitStatus.OK


def describe_edit(edit: EditRecord) -> dict[str, Any]:
    """Return the fields of an edit that are shown."""
    return {
        "revision": edit.revision,
        "edit_id": edit.edit_id,
        "operator": edit.operator,
        "accepted_at": format_time(edit.accepted_at),
        "sections": list(edit.sections),
    }


def format_time(accepted_at: int) -> str:
    """Return a wall-clock time in ISO form."""
    return datetime.fromtimestamp(accepted_at, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


async def show_revisions(access: ProxyDocument, output: Output) -> ExitStatus:
    """Print which proxy runs which revision."""
    revisions = await access.read_revisions()
    highest = max(revisions.values(), default=0)
    table = format_table(["PROXY", "REVISION"], describe_revisions(revisions))
    output.show({"revision": highest, "proxies": revisions}, table)
    is_same = is_everywhere(revisions, highest)
    return ExitStatus.OK if is_same else ExitStatus.NOT_EVERYWHERE


def check_file(path: Path, output: Output) -> ExitStatus:
    """Check a document file as a whole and print every fault."""
    text = sys.stdin.read() if str(path) == "-" else read_text(path)
    document, faults = parse_document(text, 0, str(path))
    lines = [str(fault) for fault in faults]
    output.show({"faults": lines}, "\n".join(lines) or "no faults")
    return ExitStatus.OK if document is not None else ExitStatus.REFUSED
