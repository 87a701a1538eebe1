import pytest

from ebonyrack.core.address import Address
from ebonyrack.core.address import parse_address


@pytest.mark.parametrize(
    ("text", "address"),
    [
        ("127.0.0.1:5432", Address("127.0.0.1", 5432)),
        ("[::1]:80", Address("::1", 80)),
    ],
)
def test_address_is_parsed_and_formatted(text, address):
    assert parse_address(text) == address
    assert str(address) == text


@pytest.mark.parametrize("text", ["localhost:80", "127.0.0.1", "127.0.0.1:99999", ""])
def test_malformed_addresses_are_rejected(text):
    with pytest.raises(ValueError):
        parse_address(text)
