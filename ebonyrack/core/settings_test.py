from ebonyrack.config.watch import FIRST_BACKOFF_S
from ebonyrack.core.address import Address
from ebonyrack.core.settings import parse_settings

# A change of the configuration is in force everywhere within this time.
PROPAGATION_LIMIT_S = 11.0

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


def test_lost_response_to_a_watch_hides_no_change_past_the_limit():
    # The store may add a sixteenth to the wait; then the watch is repeated.
    settings, _ = parse_settings(VALID_TEXT, "proxy.ini")
    store = settings.store
    hidden_s = store.watch_s * 17 / 16 + 2 * store.timeout_s + FIRST_BACKOFF_S
    assert hidden_s < PROPAGATION_LIMIT_S
