"""Guards against documentation of result codes that differs from the code."""

from pathlib import Path

from pollenkeel_kernel.core.codes import SUMMARY_BY_CODE, Code

PAGE = Path(__file__).parents[4] / "docs" / "errors.md"


def test_page_lists_every_code():
    """Guards against undocumented result codes."""
    rows = [line for line in PAGE.read_text().splitlines() if line.startswith("| ")][2:]
    assert rows == [
        f"| {code.value} | `{code.name}` | {code.outcome.value} | "
        f"{SUMMARY_BY_CODE[code]} |"
        for code in Code
    ]
