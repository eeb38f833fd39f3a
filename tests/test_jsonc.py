"""
Tests of parsing JSON with comments
===================================
"""

import pytest

from damasklead.findings import Findings
from damasklead.jsonc import parse


def test_comments_are_skipped_and_locations_recorded() -> None:
    findings = Findings()
    text = '{\n  // a comment\n  "a": [1, /* two */ 2.5],\n  "b": null\n}'
    document = parse(text, file="x", findings=findings)
    assert document is not None
    assert document.value == {"a": [1, 2.5], "b": None}
    assert document.locations[("a",)] == (3, 3)
    assert document.locations[("a", 1)] == (3, 22)
    assert len(findings) == 0


@pytest.mark.parametrize(
    ("text", "location"),
    [
        ('{"a": }', (1, 5)),
        ('{\n"a": 1,\n}', (2, 7)),
        ("", (1, 1)),
        ('{"a": 1, "a": 2}', (1, 10)),
    ],
)
def test_errors_have_a_location(text: str, location: tuple[int, int]) -> None:
    findings = Findings()
    parse(text, file="x", findings=findings)
    locations = [(finding.line, finding.column) for finding in findings]
    assert locations, "no error was found"
    assert all(line >= 1 and column >= 1 for line, column in locations)
    assert locations[0][0] == location[0]
