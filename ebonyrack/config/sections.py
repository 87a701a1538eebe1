"""Typed sections of the operators' document."""

from __future__ import annotations

from typing import Annotated
from typing import Literal

from pydantic import BeforeValidator
from pydantic import Field

from ebonyrack.core.address import Address
from ebonyrack.core.address import parse_address
from ebonyrack.core.ini import Section
from ebonyrack.core.ini import Words
from ebonyrack.core.ini import read_words


class UpstreamSpec(Section):
    """One upstream of a group in the document.

    Attributes:
        name: Name of the upstream's VM.
        address: Address at which it listens.
        data_centre: Data centre of the VM.
    """

    name: str
    address: Address
    data_centre: str


def parse_upstream(word: str) -> UpstreamSpec:
    """Parse an upstream from `name=IP:port@data-centre`.

    Args:
        word: One word of the `upstreams` key.

    Returns:
        The upstream.

    Raises:
        ValueError: If the word does not have this form.
    """
    name, equals, location = word.partition("=")
    address, at, data_centre = location.rpartition("@")
    if not (name and equals and at and data_centre):
        raise ValueError(f"expected name=IP:port@data-centre, found {word!r}")
    return UpstreamSpec(
        name=name, address=parse_address(address), data_centre=data_centre
    )


def parse_upstreams(value: object) -> tuple[UpstreamSpec, ...]:
    """Parse the `upstreams` key, for use as a pydantic validator.

    Args:
        value: Text, or upstreams already parsed.

    Returns:
        The upstreams.
    """
    return tuple(
        word if isinstance(word, UpstreamSpec) else parse_upstream(word)
        for word in read_words(value)
    )


class GroupSection(Section):
    """Section `[group NAME]`: a database group and how requests to it are handled.

    Times are in seconds. One upstream accepts `connection_limit` connections in all;
    `connection_reserve` of them are reserved for the group's own administrators. A
    primary counts as slow if each poll takes longer than `slow_answer_s` for
    `slow_after_s`; a `slow_answer_s` of 0 disables this.
    """

    owner: str
    upstreams: Annotated[tuple[UpstreamSpec, ...], BeforeValidator(parse_upstreams)]
    leaving: Words = ()
    user: str = "ebonyrack"
    password: str = ""
    database: str = "booking"
    contract: Literal["ebonyrack"] = "ebonyrack"
    connection_limit: int = Field(20, ge=2)
    connection_reserve: int = Field(2, ge=0)
    slots: int = Field(3, ge=1)
    queue_limit: int = Field(200, ge=1)
    queue_wait_s: float = Field(5.0, gt=0)
    confirm_wait_s: float = Field(3.0, gt=0)
    answer_wait_s: float = Field(60.0, gt=0)
    lag_refusal_s: float = Field(2.0, gt=0)
    read_wait_s: float = Field(0.3, ge=0)
    read_policy: Literal["quorum", "primary_only", "primary_after_write"] = "quorum"
    acknowledge_policy: Literal["majority", "primary_alone", "primary_lease"] = (
        "majority"
    )
    probe_interval_s: float = Field(0.05, gt=0)
    suspect_after_s: float = Field(0.2, gt=0)
    slow_answer_s: float = Field(0.1, ge=0)
    slow_after_s: float = Field(5.0, gt=0)
    idle_in_transaction_s: float = Field(10.0, gt=0)
    leaving_limit_s: float = Field(10.0, gt=0)
    key_retention_s: float = Field(86400.0, gt=0)


class ApplicationSection(Section):
    """Section `[application NAME]`: a booking application and its callers' user.

    `verifier` is a SCRAM-SHA-256 verifier in PostgreSQL's text form.
    """

    owner: str
    user: str
    verifier: str
    groups: Words
    maximum_callers: int = Field(1000, ge=1)
    weight: int = Field(1, ge=1, le=100)


class NetworkSection(Section):
    """Section `[network NAME]`: the data centres in which upstreams may be."""

    owner: str
    data_centres: Words
    region: str = "default"


class OperatorSection(Section):
    """Section `[operator NAME]`: a person and the owners that the person acts for.

    `verifier` is a SCRAM-SHA-256 verifier in PostgreSQL's text form.
    """

    owner: str = "administrators"
    acts_for: Words
    verifier: str = ""
