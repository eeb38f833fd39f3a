"""
Configuration
=============

The published configuration in force: services with their classes of requests, and
workspaces with their keys.
"""

import hashlib
import hmac
from collections.abc import Iterable, Mapping

import msgspec

from damasklead import jsonc
from damasklead.checking import check_text
from damasklead.configuration_files import (
    ClassDocument,
    PoolScope,
    ServiceDocument,
    ServiceKind,
    WorkspacesDocument,
)
from damasklead.findings import Findings, find_closest_match
from damasklead.ids import ClassName, ServiceName, WorkspaceId

__all__ = [
    "FILE_SUFFIX",
    "Configuration",
    "PoolScope",
    "RequestClass",
    "Service",
    "ServiceKind",
    "Workspace",
    "build_configuration",
    "digest_key",
]

FILE_SUFFIX = ".damasklead.json"
MILLISECONDS_PER_SECOND = 1000.0


class RequestClass(msgspec.Struct, kw_only=True, frozen=True):
    """
    A class of requests.

    Attributes
    ----------
    name : str
        Unique in the service.
    service : str
        The service that has the class.
    tier : int
        Priority from 1, the highest, to 5.
    first_token_target, token_gap_target, response_target : float or None
        Targets in seconds: to the first token, between tokens, and for the whole
        response.
    may_repeat : bool
        Whether requests are idempotent, so that executing one twice does no harm.
    useless_after_deadline : bool
        Whether a response after its target has no value to the caller.
    minimum_share : float
        Fraction of the capacity in slot-seconds that the class gets while it has
        queued requests.
    queue_bound : int
        Largest number of queued requests of the class at one entry.
    max_wait : float
        Seconds in the queue after which a request is refused as not executed.
    methods, path_prefix, workspaces
        Requests that belong to the class; empty ones match all.
    """

    name: ClassName
    service: ServiceName
    tier: int
    first_token_target: float | None = None
    token_gap_target: float | None = None
    response_target: float | None = None
    may_repeat: bool = True
    useless_after_deadline: bool = False
    minimum_share: float = 0.0
    queue_bound: int = 1000
    max_wait: float = 600.0
    methods: tuple[str, ...] = ()
    path_prefix: str = ""
    workspaces: tuple[str, ...] = ()

    @property
    def start_target(self) -> float:
        """
        Seconds from a request's arrival within which its response should begin.

        A class without a target to the first token has the target for the whole
        response instead.
        """
        return self.first_token_target or self.response_target or self.max_wait

    def matches_request(
        self, *, workspace: WorkspaceId, method: str, path: str
    ) -> bool:
        """Return whether a request may belong to this class."""
        if self.workspaces and workspace not in self.workspaces:
            return False
        if self.methods and method not in self.methods:
            return False
        return path.startswith(self.path_prefix)


class WantedModel(msgspec.Struct, kw_only=True, frozen=True):
    """A model version that ``replicas`` upstreams of the service should have loaded."""

    model: str
    version: str
    replicas: int


class Service(msgspec.Struct, kw_only=True, frozen=True):
    """
    A service.

    Attributes
    ----------
    name : str
        Unique in the deployment.
    kind : ServiceKind
        Kind of its upstreams.
    models : tuple of str
        Models that an engine service offers.
    pool_scope : PoolScope
        Extent of its pools.
    checks_fencing : bool
        Whether its engines reject load commands with an outdated fencing token.
    classes : tuple of RequestClass
        In the order of the file; a request belongs to the first that matches it.
    wanted_models : tuple of WantedModel
        Models that the lease holder of the pool keeps loaded.
    """

    name: ServiceName
    kind: ServiceKind
    models: tuple[str, ...]
    pool_scope: PoolScope
    checks_fencing: bool
    classes: tuple[RequestClass, ...]
    wanted_models: tuple[WantedModel, ...] = ()


class Workspace(msgspec.Struct, kw_only=True, frozen=True):
    """
    A workspace.

    Attributes
    ----------
    name : str
        First part of each of its keys.
    key_digests : tuple of str
        Digests of its bearer keys, ``salt:sha256`` in hexadecimal.
    weight : float
        Relative share in weighted fair queueing among workspaces.
    selectable_classes : tuple of str
        Classes that its requests may name.
    """

    name: WorkspaceId
    key_digests: tuple[str, ...]
    weight: float
    selectable_classes: tuple[str, ...]


class Configuration(msgspec.Struct, kw_only=True, frozen=True):
    """The configuration of one version; services and workspaces are keyed by name."""

    version: int
    services: dict[str, Service]
    workspaces: dict[str, Workspace]

    def find_service_by_model(self, model: str) -> Service | None:
        """Return the engine service that offers a model."""
        for service in self.services.values():
            if model in service.models:
                return service
        return None

    def authenticate(self, key: str) -> Workspace | None:
        """
        Return the workspace of a bearer key, or ``None`` for an unknown key.

        Parameters
        ----------
        key : str
            ``<workspace>.<secret>``; the digest is compared in constant time.
        """
        name, _, secret = key.partition(".")
        workspace = self.workspaces.get(name)
        if workspace is None or not secret:
            return None
        for digest in workspace.key_digests:
            salt = digest.partition(":")[0]
            if hmac.compare_digest(digest_key(key, salt=salt), digest):
                return workspace
        return None

    def classify(
        self,
        service: Service,
        *,
        workspace: Workspace,
        method: str,
        path: str,
        requested_class: str | None,
    ) -> RequestClass | None:
        """
        Return the class of a request, or ``None`` when no class matches it.

        Parameters
        ----------
        requested_class : str or None
            Class that the caller names, which its workspace must be allowed to name.
        """
        for item in service.classes:
            if requested_class is not None and item.name != requested_class:
                continue
            if (
                requested_class is not None
                and requested_class not in workspace.selectable_classes
            ):
                return None
            if item.matches_request(workspace=workspace.name, method=method, path=path):
                return item
        return None


def digest_key(key: str, *, salt: str) -> str:
    """
    Return the salted digest of a bearer key as ``salt:sha256``.

    Examples
    --------
    >>> digest_key("quay.secret", salt="00" * 8)[:17]
    '0000000000000000:'
    """
    return f"{salt}:{hashlib.sha256(bytes.fromhex(salt) + key.encode()).hexdigest()}"


def build_configuration(
    files: Mapping[str, str], *, version: int, findings: Findings
) -> Configuration | None:
    """
    Check a set of files and build the configuration that they define.

    Parameters
    ----------
    files : mapping
        Content by file name. A file with the key ``workspaces`` lists workspaces; any
        other defines a service.
    version : int
        Version number of the configuration.
    findings : Findings
        Receives all problems of all files.

    Returns
    -------
    Configuration or None
        ``None`` when there is any finding.
    """
    before = len(findings)
    builder = _ConfigurationBuilder(findings=findings)
    for name in sorted(files):
        builder.add_file(name, files[name])
    builder.check_references()
    if not builder.services and len(findings) == before:
        findings.add(
            jsonc.Document(file="-", value=None, locations={}).make_finding(
                (), "no service"
            )
        )
    if len(findings) > before:
        return None
    return Configuration(
        version=version, services=builder.services, workspaces=builder.workspaces
    )


class _ConfigurationBuilder:
    """Collects services and workspaces, and checks references between files."""

    def __init__(self, *, findings: Findings) -> None:
        self.services: dict[str, Service] = {}
        self.workspaces: dict[str, Workspace] = {}
        self._findings = findings
        self._sources: list[
            tuple[ServiceDocument | WorkspacesDocument, jsonc.Document]
        ] = []
        self._models: dict[str, str] = {}

    def add_file(self, name: str, text: str) -> None:
        """Validate one file and add its service or workspaces."""
        document = jsonc.parse(text, file=name, findings=Findings())
        value = document.value if document else None
        is_workspaces_file = (
            isinstance(value, dict) and "workspaces" in value and "service" not in value
        )
        model = WorkspacesDocument if is_workspaces_file else ServiceDocument
        checked = check_text(model, text, file=name, findings=self._findings)
        if checked is None:
            return
        content, document = checked
        assert isinstance(content, ServiceDocument | WorkspacesDocument)
        self._sources.append((content, document))
        if isinstance(content, ServiceDocument):
            self._add_service(content, document)
        elif isinstance(content, WorkspacesDocument):
            self._add_workspaces(content, document)

    def check_references(self) -> None:
        """Add a finding for each name that no file declares."""
        classes = {
            item.name for service in self.services.values() for item in service.classes
        }
        for content, document in self._sources:
            if isinstance(content, ServiceDocument):
                for index, item in enumerate(content.classes):
                    path: jsonc.Path = ("classes", index, "workspaces")
                    self._check_names(
                        item.workspaces, self.workspaces, document, path, "workspace"
                    )
            elif isinstance(content, WorkspacesDocument):
                for index, workspace in enumerate(content.workspaces):
                    path = ("workspaces", index, "may_choose_classes")
                    self._check_names(
                        workspace.may_choose_classes, classes, document, path, "class"
                    )

    def _check_names(
        self,
        names: Iterable[str],
        known: Iterable[str],
        document: jsonc.Document,
        path: jsonc.Path,
        kind: str,
    ) -> None:
        for index, name in enumerate(names):
            if name not in known:
                hint = find_closest_match(name, known)
                message = f"unknown {kind} {name!r}" + (
                    f"; did you mean {hint!r}?" if hint else ""
                )
                self._findings.add(document.make_finding((*path, index), message))

    def _add_service(self, content: ServiceDocument, document: jsonc.Document) -> None:
        if content.service in self.services:
            message = f"service {content.service!r} is declared in another file too"
            self._findings.add(document.make_finding(("service",), message))
            return
        self._check_service(content, document)
        name = ServiceName(content.service)
        self.services[name] = Service(
            name=name,
            kind=ServiceKind(content.kind),
            models=tuple(content.models),
            pool_scope=PoolScope(content.pool_scope),
            checks_fencing=content.checks_fencing,
            classes=tuple(_build_request_class(item, name) for item in content.classes),
            wanted_models=tuple(
                WantedModel(
                    model=item.model, version=item.version, replicas=item.replicas
                )
                for item in content.wanted_models
            ),
        )

    def _check_service(
        self, content: ServiceDocument, document: jsonc.Document
    ) -> None:
        for index, model in enumerate(content.models):
            owner = self._models.setdefault(model, content.service)
            if owner != content.service:
                message = f"model {model!r} is offered by service {owner!r} too"
                self._findings.add(document.make_finding(("models", index), message))
        if content.kind == "engine" and not content.models:
            self._findings.add(
                document.make_finding(("models",), "an engine service needs a model")
            )
        if sum(item.minimum_share for item in content.classes) > 0.5:
            message = (
                "the minimum shares of a service's classes add up to more than 0.5"
            )
            self._findings.add(document.make_finding(("classes",), message))
        declared: set[str] = set()
        for index, item in enumerate(content.classes):
            if item.name in declared:
                message = f"class {item.name!r} is declared twice"
                self._findings.add(
                    document.make_finding(("classes", index, "name"), message)
                )
            declared.add(item.name)
            if item.first_token_ms is None and item.answer_ms is None:
                message = "a class needs first_token_ms or answer_ms"
                self._findings.add(document.make_finding(("classes", index), message))

    def _add_workspaces(
        self, content: WorkspacesDocument, document: jsonc.Document
    ) -> None:
        for index, item in enumerate(content.workspaces):
            if item.name in self.workspaces:
                message = f"workspace {item.name!r} is declared twice"
                self._findings.add(
                    document.make_finding(("workspaces", index, "name"), message)
                )
                continue
            self.workspaces[item.name] = Workspace(
                name=WorkspaceId(item.name),
                key_digests=tuple(item.key_digests),
                weight=item.weight,
                selectable_classes=tuple(item.may_choose_classes),
            )


def _build_request_class(item: ClassDocument, service: ServiceName) -> RequestClass:
    return RequestClass(
        name=ClassName(item.name),
        service=service,
        tier=item.tier,
        first_token_target=_convert_to_seconds(item.first_token_ms),
        token_gap_target=_convert_to_seconds(item.token_gap_ms),
        response_target=_convert_to_seconds(item.answer_ms),
        may_repeat=item.may_repeat,
        useless_after_deadline=item.late_answers == "useless",
        minimum_share=item.minimum_share,
        queue_bound=item.queue_bound,
        max_wait=item.max_wait_ms / MILLISECONDS_PER_SECOND,
        methods=tuple(item.methods),
        path_prefix=item.path_prefix,
        workspaces=tuple(item.workspaces),
    )


def _convert_to_seconds(milliseconds: float | None) -> float | None:
    return None if milliseconds is None else milliseconds / MILLISECONDS_PER_SECOND
