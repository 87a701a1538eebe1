"""Commands that read, check and change the operators' document."""

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
from ebonyrack.ops.base_file import write_document
from ebonyrack.ops.document_access import DocumentAccess
from ebonyrack.ops.document_access import ProxyDocument
from ebonyrack.ops.document_access import all_run_revision
from ebonyrack.ops.editor import run_editor
from ebonyrack.ops.editor import save_text
from ebonyrack.ops.exit_status import CommandError
from ebonyrack.ops.exit_status import ExitStatus
from ebonyrack.ops.output import Output
from ebonyrack.ops.tables import format_table
from ebonyrack.peers.edit_messages import EditReply

# Title of the text before the first section in a list of sections.
PREAMBLE = "(preamble)"
OUTCOME_STATUS = {
    "accepted": ExitStatus.OK,
    "refused": ExitStatus.REFUSED,
    "not_accepted": ExitStatus.NOT_ACCEPTED,
    "unknown": ExitStatus.UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class ApplyOptions:
    """Options of an edit.

    Attributes:
        operator: Name of the operator.
        edit_id: Identity of an edit to repeat, or empty for a new edit.
        limit_s: Seconds within which the edit must be accepted.
        wait_s: Seconds to wait until all proxies run it; None for no wait.
    """

    operator: str
    edit_id: str
    limit_s: float
    wait_s: float | None


async def get_document(
    access: DocumentAccess, section: str, path: Path | None, output: Output
) -> ExitStatus:
    """Print the document or one section, or write the document to a file."""
    document = await access.read()
    if path is not None:
        write_document(path, document)
        output.print_note(f"revision {document.revision} written to {path}")
        return ExitStatus.OK
    text = document.text
    if section:
        sections = split_sections(text)
        if section not in sections:
            raise CommandError(ExitStatus.REFUSED, f"there is no section [{section}]")
        text = sections[section]
    output.print_result(
        {"revision": document.revision, "text": text}, text.rstrip("\n")
    )
    output.print_note(f"revision {document.revision}")
    return ExitStatus.OK


async def apply_file(
    access: DocumentAccess, path: Path, options: ApplyOptions, output: Output
) -> ExitStatus:
    """Apply the changes between a file and its base copy or the document in force."""
    new_text = read_text(path)
    base = read_base(path) or await access.read()
    status = await apply_text(access, base, new_text, options, output)
    if status is ExitStatus.OK and find_base_path(path).exists():
        write_document(path, await access.read())
    return status


async def apply_text(
    access: DocumentAccess,
    base: StoredDocument,
    new_text: str,
    options: ApplyOptions,
    output: Output,
) -> ExitStatus:
    """Submit the differences between a text and its base as an edit."""
    edit_id = options.edit_id or uuid.uuid4().hex
    edit = build_edit(edit_id, options.operator, base, new_text)
    if not edit.changes and not options.edit_id:
        output.print_result({"outcome": "unchanged"}, "nothing changed")
        return ExitStatus.OK
    check_locally(apply_changes(base.text, edit.changes))
    edit = replace(edit, is_repeat=bool(options.edit_id))
    reply = await access.change(edit, options.limit_s)
    return await report_outcome(access, edit, reply, options, output)


def check_locally(text: str) -> None:
    """Reject a text with configuration errors before anything is sent."""
    document, errors = parse_document(text, 0)
    if document is None:
        lines = "\n".join(str(error) for error in errors)
        raise CommandError(ExitStatus.REFUSED, lines)


async def report_outcome(
    access: DocumentAccess,
    edit: Edit,
    reply: EditReply,
    options: ApplyOptions,
    output: Output,
) -> ExitStatus:
    """Print the outcome of an edit and, on request, the revision of each proxy."""
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
        revisions = await access.wait_for_revision(reply.revision, wait_s)
        report["proxies"] = revisions
        lines.append(format_table(["PROXY", "REVISION"], describe_revisions(revisions)))
        if not all_run_revision(revisions, reply.revision):
            status = ExitStatus.NOT_EVERYWHERE
    output.print_result(report, "\n".join(line for line in lines if line))
    return status


def describe_outcome(edit: Edit, reply: EditReply) -> str:
    """Return a one-line description of an edit's outcome."""
    if reply.outcome == "accepted":
        return f"accepted as revision {reply.revision}"
    if reply.outcome == "unknown":
        return f"unknown; repeat with --edit-id {edit.edit_id}"
    return reply.outcome.replace("_", " ")


def describe_revisions(revisions: dict[str, int]) -> list[tuple[str, str]]:
    """Return the table rows with name and revision of each proxy."""
    return [
        (name, str(revision) if revision else "not reached")
        for name, revision in sorted(revisions.items())
    ]


async def edit_document(
    access: DocumentAccess, section: str, options: ApplyOptions, output: Output
) -> ExitStatus:
    """Open the document or one section in an editor and apply the changes."""
    base = await access.read()
    sections = split_sections(base.text)
    before = sections.get(section, f"[{section}]\n") if section else base.text
    after = run_editor(before)
    if after == before:
        output.print_result({"outcome": "unchanged"}, "nothing changed")
        return ExitStatus.OK
    new_text = apply_changes(base.text, {section: after}) if section else after
    status = await apply_text(access, base, new_text, options, output)
    if status is not ExitStatus.OK:
        output.print_note(f"your text is saved in {save_text(after)}")
    return status


async def show_difference(
    access: DocumentAccess, path: Path, output: Output
) -> ExitStatus:
    """Print how a file differs from the document in force."""
    new_text = read_text(path)
    document = await access.read()
    sections = split_sections(document.text)
    changes = find_changes(document.text, new_text)
    differences = [
        build_difference(text or "", sections.get(title, ""), title)
        for title, text in changes.items()
    ]
    difference = "".join(differences)
    report = {"revision": document.revision, "difference": difference}
    output.print_result(report, difference.rstrip() or "no difference")
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
    output.print_result(report, format_table(titles, rows))
    return ExitStatus.OK


def describe_edit(edit: EditRecord) -> dict[str, Any]:
    """Return the printed fields of an edit."""
    return {
        "revision": edit.revision,
        "edit_id": edit.edit_id,
        "operator": edit.operator,
        "accepted_at": format_time(edit.accepted_at),
        "sections": list(edit.sections),
    }


def format_time(accepted_at: int) -> str:
    """Format a Unix time in seconds as ISO 8601 in UTC."""
    return datetime.fromtimestamp(accepted_at, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


async def show_revisions(access: ProxyDocument, output: Output) -> ExitStatus:
    """Print the revision that each proxy runs."""
    revisions = await access.read_revisions()
    highest = max(revisions.values(), default=0)
    table = format_table(["PROXY", "REVISION"], describe_revisions(revisions))
    output.print_result({"revision": highest, "proxies": revisions}, table)
    is_same = all_run_revision(revisions, highest)
    return ExitStatus.OK if is_same else ExitStatus.NOT_EVERYWHERE


def check_file(path: Path, output: Output) -> ExitStatus:
    """Check a document file, or standard input for `-`, and print all errors."""
    text = sys.stdin.read() if str(path) == "-" else read_text(path)
    document, errors = parse_document(text, 0, str(path))
    lines = [str(error) for error in errors]
    output.print_result({"faults": lines}, "\n".join(lines) or "no errors")
    return ExitStatus.OK if document is not None else ExitStatus.REFUSED
