from pathlib import Path

import ebonyrack
from ebonyrack.ops.error_table import format_error_table

PAGE = Path(ebonyrack.__file__).parent.parent / "docs" / "OPERATIONS.md"


def test_operators_page_contains_the_current_error_table():
    assert format_error_table() in PAGE.read_text(encoding="utf-8")
