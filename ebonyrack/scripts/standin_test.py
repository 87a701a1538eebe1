import pytest

from ebonyrack.scripts.standin import main


@pytest.mark.parametrize(
    "arguments, reason",
    [
        (["platform", "--listen", "localhost:1"], "not an IP number"),
        (["upstream", "--listen", "127.0.0.1:0"], "--name"),
        (
            ["upstream", "--listen", "127.0.0.1:0", "--name", "a"]
            + ["--initial-role", "replica"],
            "needs --peers",
        ),
        (["group", "--listen", "127.0.0.1:0", "--slots", "x"], "invalid int"),
        (
            ["group", "--listen", "127.0.0.1:0", "--apply-delay-s", "-1"],
            "at least 0",
        ),
    ],
)
def test_invalid_arguments_are_reported(arguments, reason, capsys):
    with pytest.raises(SystemExit) as exit_info:
        main(arguments)
    assert exit_info.value.code == 2
    assert reason in capsys.readouterr().err
