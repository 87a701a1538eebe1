"""Addresses of the proxies of a simulated platform."""

from ebonyrack.standins.line_system import find_free_addresses


def test_addresses_for_listeners_of_a_proxy_differ():
    # Two listeners with one address: the second fails with "address already in use".
    addresses = find_free_addresses(500)
    assert len(set(addresses)) == 500
