"""
Tests of the configuration
==========================
"""

import json

from damasklead.configuration import Configuration, build_configuration, digest_key
from damasklead.findings import Findings

SALT = "ab" * 8
WORKSPACES = json.dumps(
    {
        "workspaces": [
            {"name": "quay", "key_digests": [digest_key("quay.s3cret", salt=SALT)]},
            {
                "name": "plant",
                "key_digests": [digest_key("plant.s3cret", salt=SALT)],
                "may_choose_classes": ["slow"],
            },
        ]
    }
)
SERVICE = """{
  "service": "llm", "kind": "engine", "models": ["m"],
  "classes": [
    {"name": "fast", "tier": 1, "first_token_ms": 340, "workspaces": ["quay"]},
    {"name": "slow", "tier": 5, "answer_ms": 60000, "minimum_share": 0.02}
  ]
}"""


def build(**files: str) -> tuple[Configuration | None, list[str]]:
    findings = Findings()
    named = {f"{name}.damasklead.json": text for name, text in files.items()}
    result = build_configuration(named, version=3, findings=findings)
    return result, [str(finding) for finding in findings]


def test_a_good_set_builds() -> None:
    configuration, findings = build(llm=SERVICE, workspaces=WORKSPACES)
    assert findings == []
    assert configuration is not None and configuration.version == 3
    fast = configuration.services["llm"].classes[0]
    assert fast.first_token_target == 0.34 and fast.start_target == 0.34


def test_keys_open_their_own_workspace_only() -> None:
    configuration, _ = build(llm=SERVICE, workspaces=WORKSPACES)
    assert configuration is not None
    quay = configuration.authenticate("quay.s3cret")
    assert quay is not None and quay.name == "quay"
    for key in ("quay.wrong", "plant.s3cre", "quay", "", "nobody.s3cret", "plant."):
        assert configuration.authenticate(key) is None


def test_a_class_is_chosen_only_by_workspaces_that_may() -> None:
    configuration, _ = build(llm=SERVICE, workspaces=WORKSPACES)
    assert configuration is not None
    service = configuration.services["llm"]

    def classify(key: str, requested_class: str | None) -> str | None:
        workspace = configuration.authenticate(key)
        assert workspace is not None
        found = configuration.classify(
            service,
            workspace=workspace,
            method="POST",
            path="/x",
            requested_class=requested_class,
        )
        return None if found is None else found.name

    assert classify("quay.s3cret", None) == "fast"
    assert classify("plant.s3cret", None) == "slow"
    assert classify("plant.s3cret", "slow") == "slow"
    assert classify("plant.s3cret", "fast") is None
    assert classify("quay.s3cret", "slow") is None


def test_all_findings_of_all_files_come_together() -> None:
    bad_service = SERVICE.replace('"tier": 1', '"teir": 1').replace('"quay"', '"quya"')
    bad_workspaces = WORKSPACES.replace('"slow"', '"slwo"')
    configuration, findings = build(llm=bad_service, workspaces=bad_workspaces)
    assert configuration is None
    text = "\n".join(findings)
    assert "llm.damasklead.json:4:" in text
    assert "classes[0].teir: unknown key; did you mean 'tier'?" in text
    assert "classes[0].tier: Field required" in text
    assert "may_choose_classes[0]" in text


def test_references_are_checked() -> None:
    misspelt = SERVICE.replace('"quay"', '"quya"')
    _, findings = build(llm=misspelt, workspaces=WORKSPACES)
    assert len(findings) == 1
    assert "unknown workspace 'quya'; did you mean 'quay'?" in findings[0]


def test_two_services_cannot_offer_one_model() -> None:
    other = SERVICE.replace('"llm"', '"other"')
    _, findings = build(llm=SERVICE, other=other, workspaces=WORKSPACES)
    assert len(findings) == 1 and "is offered by service" in findings[0]
