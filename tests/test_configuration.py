"""
Tests of building the configuration from its files
==================================================
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


def build_from_texts(**texts: str) -> tuple[Configuration | None, list[str]]:
    findings = Findings()
    files = {f"{name}.damasklead.json": text for name, text in texts.items()}
    configuration = build_configuration(files, version=3, findings=findings)
    return configuration, [str(finding) for finding in findings]


def test_valid_files_make_a_configuration() -> None:
    configuration, findings = build_from_texts(llm=SERVICE, workspaces=WORKSPACES)
    assert findings == []
    assert configuration is not None and configuration.version == 3
    fast = configuration.services["llm"].classes[0]
    assert fast.first_token_target == 0.34 and fast.start_target == 0.34


def test_keys_authenticate_only_their_own_workspace() -> None:
    configuration, _ = build_from_texts(llm=SERVICE, workspaces=WORKSPACES)
    assert configuration is not None
    quay = configuration.authenticate("quay.s3cret")
    assert quay is not None and quay.name == "quay"
    for key in ("quay.wrong", "plant.s3cre", "quay", "", "nobody.s3cret", "plant."):
        assert configuration.authenticate(key) is None


def test_callers_select_only_classes_allowed_to_their_workspace() -> None:
    configuration, _ = build_from_texts(llm=SERVICE, workspaces=WORKSPACES)
    assert configuration is not None
    service = configuration.services["llm"]

    def classify(key: str, requested_class: str | None) -> str | None:
        workspace = configuration.authenticate(key)
        assert workspace is not None
        request_class = configuration.classify(
            service,
            workspace=workspace,
            method="POST",
            path="/x",
            requested_class=requested_class,
        )
        return None if request_class is None else request_class.name

    assert classify("quay.s3cret", None) == "fast"
    assert classify("plant.s3cret", None) == "slow"
    assert classify("plant.s3cret", "slow") == "slow"
    assert classify("plant.s3cret", "fast") is None
    assert classify("quay.s3cret", "slow") is None


def test_findings_of_all_files_are_reported_together() -> None:
    invalid_service = SERVICE.replace('"tier": 1', '"teir": 1').replace(
        '"quay"', '"quya"'
    )
    invalid_workspaces = WORKSPACES.replace('"slow"', '"slwo"')
    configuration, findings = build_from_texts(
        llm=invalid_service, workspaces=invalid_workspaces
    )
    assert configuration is None
    report = "\n".join(findings)
    assert "llm.damasklead.json:4:" in report
    assert "classes[0].teir: unknown key; did you mean 'tier'?" in report
    assert "classes[0].tier: Field required" in report
    assert "may_choose_classes[0]" in report


def test_unknown_workspace_is_reported_with_a_suggestion() -> None:
    misspelt = SERVICE.replace('"quay"', '"quya"')
    _, findings = build_from_texts(llm=misspelt, workspaces=WORKSPACES)
    assert len(findings) == 1
    assert "unknown workspace 'quya'; did you mean 'quay'?" in findings[0]


def test_two_services_cannot_offer_the_same_model() -> None:
    other = SERVICE.replace('"llm"', '"other"')
    _, findings = build_from_texts(llm=SERVICE, other=other, workspaces=WORKSPACES)
    assert len(findings) == 1 and "is offered by service" in findings[0]
