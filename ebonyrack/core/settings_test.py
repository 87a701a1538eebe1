from ebonyrack.core.address import Address
from ebonyrack.core.settings import parse_settings

VALID_TEXT = """
[proxy]
name = proxy-1
data_centre = bangkok-1
caller_address = 127.0.1.1:6432
peer_address = 127.0.1.1:7432
[store]
address = 127.0.0.1:8500
[peers]
seeds = 127.0.1.2:7432, 127.0.1.3:7432
secret = long-enough
"""


def test_valid_settings_are_parsed():
    settings, errors = parse_settings(VALID_TEXT, "proxy.ini")
    assert errors == ()
    assert settings.proxy.caller_address == Address("127.0.1.1", 6432)
    assert len(settings.peers.seeds) == 2


def test_every_error_is_reported_with_section_and_key():
    text = VALID_TEXT.replace("127.0.1.1:6432", "somewhere").replace("name =", "nome =")
    settings, errors = parse_settings(text + "[extra]\nx = 1\n", "proxy.ini")
    assert settings is None
    locations = {(error.section, error.key) for error in errors}
    assert {
        ("proxy", "name"),
        ("proxy", "nome"),
        ("proxy", "caller_address"),
        ("extra", ""),
    } <= locations


def test_text_that_is_not_ini_is_one_error():
    settings, errors = parse_settings("name = 1", "proxy.ini")
    assert settings is None
    assert len(errors) == 1
