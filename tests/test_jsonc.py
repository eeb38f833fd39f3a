"""
Tests of JSON with comments
===========================
"""

import pytest

from damasklead.findings import Findings
from damasklead.jsonc import parse


def test_comments_and_places() -> None:
    findings = Findings()
    text = '{\n  // a comment\n  "a": [1, /* two */ 2.5],\n  "b": null\n}'
    document = parse(text, file="x", findings=findings)
    assert document is not None
    assert document.value == {"a": [1, 2.5], "b": None}
    assert document.locations[("a",)] == (3, 3)
    assert document.locations[("a", 1)] == (3, 22)
    assert len(findings) == 0


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ('{"a": }', (1, 5)),
        ('{\n"a": 1,\n}', (2, 7)),
        ("", (1, 1)),
        ('{"a": 1, "a": 2}', (1, 10)),
    ],
)
def test_faults_have_a_place(text: str, place: tuple[int, int]) -> None:
    findings = Findings()
    parse(text, file="x", findings=findings)
    found = [(finding.line, finding.column) for finding in findings]
    assert found, "a fault must be found"
    assert all(line >= 1 and column >= 1 for line, column in found)
    assert found[0][0] == place[0]
