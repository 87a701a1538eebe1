import pytest

from ebonyrack.standins.locks import find_lock_keys

UNIQUE = {"requests": {"key"}, "bookings": {"request"}}


@pytest.mark.parametrize(
    "text, values, lock_keys",
    [
        (
            "INSERT INTO requests (key, outcome, at) VALUES ('k', '', now())"
            " ON CONFLICT (key) DO NOTHING",
            (),
            {"requests.key=k"},
        ),
        (
            "UPDATE requests SET outcome = 'x' WHERE key = $1",
            ("k",),
            {"requests.key=k"},
        ),
        (
            "INSERT INTO bookings (slot, request) VALUES ($1, $2), (7, 'r')",
            (5, "q"),
            {"bookings.request=q", "bookings.request=r"},
        ),
        ("DELETE FROM bookings WHERE slot = 7", (), {"bookings.slot=7"}),
        ("SELECT * FROM bookings WHERE slot = 7 FOR UPDATE", (), {"bookings.slot=7"}),
        ("UPDATE bookings SET slot = 1", (), set()),
        ("CREATE TABLE t (key TEXT)", (), set()),
    ],
)
def test_lock_keys_are_inserted_unique_values_and_compared_values(
    text, values, lock_keys
):
    assert find_lock_keys(text, values, UNIQUE) == lock_keys


def test_lock_keys_of_a_long_literal_are_found_in_linear_time():
    long = "0" * 2_000_000
    text = f"INSERT INTO bookings (slot, request) VALUES (now(), '{long}')"
    assert find_lock_keys(text, (), {"bookings": {"request"}}) == {
        f"bookings.request={long}"
    }
