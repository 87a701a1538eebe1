"""INI documents validated by pydantic models, with all errors reported at once."""

from __future__ import annotations

import configparser
from typing import Annotated
from typing import Any

from pydantic import BaseModel
from pydantic import BeforeValidator
from pydantic import ConfigDict
from pydantic import ValidationError

from ebonyrack.core.address import Address
from ebonyrack.core.address import parse_address
from ebonyrack.core.config_error import ConfigError


class Section(BaseModel):
    """Base model of sections: immutable, with unknown keys rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True, arbitrary_types_allowed=True)


def read_address(value: object) -> Address:
    """Convert an INI value to an address, as a pydantic validator.

    Args:
        value: Text, or an address that is already parsed.

    Returns:
        The address.
    """
    if isinstance(value, Address):
        return value
    return parse_address(str(value))


def read_words(value: object) -> tuple[Any, ...]:
    """Split an INI value at commas and white space, as a pydantic validator.

    Args:
        value: Text, or a sequence that is already split.

    Returns:
        The words.
    """
    if isinstance(value, str):
        return tuple(value.replace(",", " ").split())
    return tuple(value)  # type: ignore[arg-type]


AddressField = Annotated[Address, BeforeValidator(read_address)]
Words = Annotated[tuple[str, ...], BeforeValidator(read_words)]
Addresses = Annotated[tuple[AddressField, ...], BeforeValidator(read_words)]


def parse_ini(
    text: str, source: str
) -> tuple[dict[str, dict[str, str]], tuple[ConfigError, ...]]:
    """Parse an INI text into sections and keys.

    Args:
        text: The document.
        source: Name of the document, for errors.

    Returns:
        Section to key to value, and the syntax errors.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        return {}, (ConfigError(source, "", "", error.message),)
    sections = {name: dict(parser.items(name)) for name in parser.sections()}
    return sections, ()


def check_section(
    model: type[Section], values: dict[str, str], source: str, section: str
) -> tuple[Any, tuple[ConfigError, ...]]:
    """Validate one section by its model.

    Args:
        model: Model of the section.
        values: Key to value.
        source: Name of the document, for errors.
        section: Name of the section, for errors.

    Returns:
        The record, or None with all errors of the section.
    """
    try:
        return model.model_validate(values), ()
    except ValidationError as error:
        errors = tuple(
            ConfigError(
                source,
                section,
                ".".join(str(part) for part in item["loc"]),
                item["msg"],
            )
            for item in error.errors()
        )
        return None, errors
