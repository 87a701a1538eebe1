"""Checks of the document that span several keys or sections."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Any

from ebonyrack.config.sections import ApplicationSection
from ebonyrack.config.sections import GroupSection
from ebonyrack.core.config_error import ConfigError

Records = dict[str, dict[str, Any]]


def check_references(records: Records, source: str) -> tuple[ConfigError, ...]:
    """Check the constraints between keys and between sections.

    Args:
        records: Kind to name to record; None stands for a section with errors.
        source: Name of the document, for error messages.

    Returns:
        Every error found.
    """
    errors: list[ConfigError] = []
    for name, group in records["group"].items():
        if group is not None:
            texts = check_group(group)
            errors.extend(
                ConfigError(source, f"group {name}", key, text) for key, text in texts
            )
    for name, application in records["application"].items():
        if application is not None:
            texts = check_application(application, records)
            errors.extend(
                ConfigError(source, f"application {name}", key, text)
                for key, text in texts
            )
    errors.extend(check_data_centres(records, source))
    errors.extend(check_unique_users(records, source))
    errors.extend(check_unique_addresses(records, source))
    return tuple(errors)


def check_group(group: GroupSection) -> Iterator[tuple[str, str]]:
    """Check one group; yield key and text of each error."""
    names = [upstream.name for upstream in group.upstreams]
    if not names:
        yield "upstreams", "a group needs at least one upstream"
    for name, count in Counter(names).items():
        if count > 1:
            yield "upstreams", f"upstream {name!r} is listed {count} times"
    for name in group.leaving:
        if name not in names:
            yield "leaving", f"{name!r} is not an upstream; allowed: {', '.join(names)}"
    if group.connection_limit <= group.connection_reserve:
        yield (
            "connection_reserve",
            f"must be below connection_limit ({group.connection_limit})",
        )
    if group.suspect_after_s < group.probe_interval_s:
        yield (
            "suspect_after_s",
            f"must not be below probe_interval_s ({group.probe_interval_s})",
        )
    is_set = "slow_answer_s" in group.model_fields_set
    if is_set and group.slow_answer_s >= group.suspect_after_s:
        yield (
            "slow_answer_s",
            f"must be below suspect_after_s ({group.suspect_after_s}); 0 disables it",
        )


def check_application(
    application: ApplicationSection, records: Records
) -> Iterator[tuple[str, str]]:
    """Check one application; yield key and text of each error."""
    known = ", ".join(records["group"])
    if not application.groups:
        yield "groups", f"an application needs at least one group; known: {known}"
    for name in application.groups:
        if name not in records["group"]:
            yield "groups", f"there is no group {name!r}; known: {known}"


def check_data_centres(records: Records, source: str) -> Iterator[ConfigError]:
    """Check that upstreams are in data centres of the networks, if any are defined."""
    known = {
        data_centre
        for network in records["network"].values()
        if network is not None
        for data_centre in network.data_centres
    }
    if not known or None in records["network"].values():
        return
    for name, group in records["group"].items():
        for upstream in group.upstreams if group is not None else ():
            if upstream.data_centre not in known:
                text = (
                    f"no network has the data centre {upstream.data_centre!r};"
                    f" allowed: {', '.join(sorted(known))}"
                )
                yield ConfigError(source, f"group {name}", "upstreams", text)


def check_unique_users(records: Records, source: str) -> Iterator[ConfigError]:
    """Check that no two applications have the same user."""
    owners: dict[str, str] = {}
    for name, application in records["application"].items():
        if application is None:
            continue
        first = owners.setdefault(application.user, name)
        if first != name:
            text = f"{application.user!r} is already the user of [application {first}]"
            yield ConfigError(source, f"application {name}", "user", text)


def check_unique_addresses(records: Records, source: str) -> Iterator[ConfigError]:
    """Check that no two upstreams listen at the same address."""
    descriptions: dict[Any, str] = {}
    for name, group in records["group"].items():
        for upstream in () if group is None else group.upstreams:
            description = f"upstream {upstream.name} of [group {name}]"
            first = descriptions.setdefault(upstream.address, description)
            if first != description:
                text = f"{upstream.address} of {description} is already used by {first}"
                yield ConfigError(source, f"group {name}", "upstreams", text)
