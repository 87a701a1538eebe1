"""Decodes the client accounts of the operators' configuration."""

from __future__ import annotations

import math
from typing import Any

from ebonyrack.core.decoding import raise_defects
from ebonyrack.routes.account import ClientAccount
from ebonyrack.routes.account import digest_key

# Priority of an account whose entry has none: that of ordinary routes.
DEFAULT_PRIORITY = 1
# Word that stands for a missing value on the wire.
RESERVED_NAME = "-"


class InvalidDocumentError(ValueError):
    """A configuration that breaks a rule; the message contains no key."""


def decode_accounts(
    tenants: list[dict[str, Any]],
) -> tuple[dict[str, ClientAccount], dict[bytes, str]]:
    """Decode the client accounts.

    Args:
        tenants: The entries of the configuration.

    Returns:
        Accounts by name, and names of accounts by digest of their keys.

    Raises:
        InvalidDocumentError, LookupError, TypeError, AttributeError: If an entry is
            malformed, or two accounts have one name or one key.
    """
    if not isinstance(tenants, list):
        raise InvalidDocumentError("tenants must be a list")
    accounts: dict[str, ClientAccount] = {}
    account_names: dict[bytes, str] = {}
    for tenant in tenants:
        account = decode_account(tenant)
        if account.name in accounts:
            raise InvalidDocumentError(f"two tenants have the name {account.name}")
        accounts[account.name] = account
        for key_digest in decode_keys(tenant["apiKeys"], account.name):
            holder = account_names.setdefault(key_digest, account.name)
            if holder != account.name:
                raise InvalidDocumentError(
                    f"{holder} and {account.name} have a key in common"
                )
    return accounts, account_names


def decode_account(tenant: dict[str, Any]) -> ClientAccount:
    """Decode one account without its keys.

    An account without a rate is unlimited; one without a burst has none.
    """
    name = tenant["name"]
    # Upstreams are told the name as one word of a line.
    if not isinstance(name, str) or not is_word(name) or name == RESERVED_NAME:
        raise InvalidDocumentError("a tenant's name must be one printable word")
    priority = tenant.get("priority", DEFAULT_PRIORITY)
    if type(priority) is not int or priority < 0:
        raise InvalidDocumentError(f"priority of {name} must be an integer from 0")
    rate_per_s = None
    if "ratePerS" in tenant:
        rate_per_s = read_limit(tenant, "ratePerS")
    burst = read_limit(tenant, "burst") if "burst" in tenant else 0.0
    with raise_defects():
        return ClientAccount(name, priority, rate_per_s, burst)


def decode_keys(keys: list[str], name: str) -> list[bytes]:
    """Return the digests of an account's keys."""
    if not isinstance(keys, list):
        raise InvalidDocumentError(f"apiKeys of {name} must be a list")
    # A key may be any text that fits in a line; one with a surrogate can't be encoded.
    if not all(isinstance(key, str) and key and is_encodable(key) for key in keys):
        raise InvalidDocumentError(f"apiKeys of {name} must be nonempty strings")
    return [digest_key(key.encode()) for key in keys]


def read_limit(tenant: dict[str, Any], field: str) -> float:
    """Return a limit, a finite number from 0."""
    value = tenant[field]
    if type(value) not in (int, float) or not 0 <= value < math.inf:
        raise InvalidDocumentError(
            f"{field} of {tenant['name']} must be a finite number from 0"
        )
    return float(value)


def is_word(text: str) -> bool:
    """Return whether a text is one printable word."""
    return bool(text) and text.isprintable() and not any(map(str.isspace, text))


def is_encodable(text: str) -> bool:
    """Return whether a text has a UTF-8 form."""
    return not any("\ud800" <= character <= "\udfff" for character in text)
