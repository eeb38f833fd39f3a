"""
Published configuration
=======================

The manifest, a row of the table service, holds the number of the active version and the
digests of its files, which are kept in the object store.

A publisher replaces the manifest by a conditional write on the version that the change
is based on.  A follower only activates a higher version than its own.
"""

import hashlib
from collections.abc import Iterable, Mapping

import msgspec
from result import Err, Ok

from damasklead.audit import AuditEvent, make_audit_write
from damasklead.configuration import Configuration, build_configuration
from damasklead.decoding import decode_json
from damasklead.findings import Findings
from damasklead.ids import AttemptId, Incarnation, InstanceId
from damasklead.protocol import GetObject, PutObject, ReadRows, Steps
from damasklead.stores.base import (
    ABSENT,
    Commit,
    Committed,
    Condition,
    Put,
    Row,
    StoreError,
)

__all__ = [
    "CONFIGURATION_TABLE",
    "ConfigurationHolder",
    "Manifest",
    "PublishConflict",
    "PublishFailed",
    "PublishRefused",
    "PublishSucceeded",
    "Publication",
    "decode_manifest",
    "digest_text",
    "fetch",
    "publish",
    "read_manifest",
    "read_versions",
    "report_version",
]

CONFIGURATION_TABLE = "configuration"
REPORTS_TABLE = "configuration-reports"
MANIFEST_KEY = "manifest"
MAX_READ_BACKS = 5


class Manifest(msgspec.Struct, kw_only=True, frozen=True):
    """
    The active version of the configuration.

    Attributes
    ----------
    version : int
        Number of the version, which grows by one with each publication.
    files : dict
        SHA-256 digest in hexadecimal, which is the object's name, by file name.
    publication : str
        Id of the publication that created the version.
    who : str
        The operator who published it.
    """

    version: int
    files: dict[str, str]
    publication: AttemptId
    who: str


class Publication(msgspec.Struct, kw_only=True, frozen=True):
    """
    A change of the configuration that an operator requests.

    Attributes
    ----------
    id : str
        Unique id of the publication.
    who : str
        The operator.
    files : dict
        Contents of the files to add or replace, by file name.
    removed : tuple of str
        Names of the files to remove.
    based_on : int or None
        The version that the operator edited; ``None`` stands for the version that is
        active when the publication starts.
    at : float
        Wall-clock time in seconds since 1970, for the audit trail.
    """

    id: AttemptId
    who: str
    files: dict[str, str]
    removed: tuple[str, ...] = ()
    based_on: int | None = None
    at: float = 0.0


class PublishSucceeded(msgspec.Struct, kw_only=True, frozen=True):
    """The change was published as ``version``."""

    version: int


class PublishConflict(msgspec.Struct, kw_only=True, frozen=True):
    """
    Nothing was changed: the change is not based on the active version.

    Attributes
    ----------
    version : int
        The active version.
    who : str
        The operator who published it; empty before the first publication.
    """

    version: int
    who: str


class PublishRefused(msgspec.Struct, kw_only=True):
    """Nothing was changed: the resulting configuration is invalid."""

    findings: Findings


class PublishFailed(msgspec.Struct, kw_only=True, frozen=True):
    """
    The store failed.

    Attributes
    ----------
    maybe_published : bool
        Whether the change may have taken effect.
    """

    maybe_published: bool


PublishResult = PublishSucceeded | PublishConflict | PublishRefused | PublishFailed
Bundle = dict[str, str]  # file contents by file name


def read_manifest() -> Steps[Row | StoreError | None]:
    """Read the manifest's row, which is ``None`` before the first publication."""
    result = yield ReadRows(table=CONFIGURATION_TABLE, keys=(MANIFEST_KEY,))
    if isinstance(result, Err):
        return result.err_value
    rows: tuple[Row, ...] = result.ok_value
    return rows[0] if rows else None


def decode_manifest(row: Row) -> Manifest:
    """Return the manifest in a row."""
    return decode_json(row.value, type=Manifest)


def fetch(
    manifest: Manifest, *, texts_by_digest: Mapping[str, str]
) -> Steps[Bundle | None]:
    """
    Fetch the files of a manifest.

    Parameters
    ----------
    manifest : Manifest
        The version to fetch.
    texts_by_digest : mapping
        Contents, by digest, of files that are already at hand.

    Returns
    -------
    dict or None
        Contents by file name, or ``None`` if an object is missing, could not be fetched
        or does not match its digest.
    """
    files: Bundle = {}
    for name, digest in manifest.files.items():
        text = texts_by_digest.get(digest)
        if text is None:
            result = yield GetObject(name=digest)
            if isinstance(result, Err) or result.ok_value is None:
                return None
            if hashlib.sha256(result.ok_value).hexdigest() != digest:
                return None
            text = result.ok_value.decode()
        files[name] = text
    return files


def publish(publication: Publication) -> Steps[PublishResult]:
    """Publish a change if it applies to the active version and is valid."""
    row = yield from read_manifest()
    if isinstance(row, StoreError):
        return PublishFailed(maybe_published=False)
    base = None if row is None else decode_manifest(row)
    base_version = 0 if base is None else base.version
    if publication.based_on is not None and publication.based_on != base_version:
        return PublishConflict(
            version=base_version, who="" if base is None else base.who
        )
    merged = yield from _merge_files(publication, base)
    if merged is None:
        return PublishFailed(maybe_published=False)
    findings = Findings()
    if build_configuration(merged, version=base_version + 1, findings=findings) is None:
        return PublishRefused(findings=findings)
    manifest = Manifest(
        version=base_version + 1,
        files={name: digest_text(text) for name, text in merged.items()},
        publication=publication.id,
        who=publication.who,
    )
    if not (yield from _store_files(merged)):
        return PublishFailed(maybe_published=False)
    result = yield _make_publish_commit(
        manifest, ABSENT if row is None else row.version, base, publication
    )
    if isinstance(result, Ok) and isinstance(result.ok_value, Committed):
        return PublishSucceeded(version=manifest.version)
    if result == Err(StoreError.UNAVAILABLE):
        return PublishFailed(maybe_published=False)
    return (yield from _confirm_publication(manifest))


class VersionReport(msgspec.Struct, kw_only=True, frozen=True):
    """The version that is active at an entry."""

    instance: InstanceId
    incarnation: Incarnation
    version: int


def report_version(
    instance: InstanceId, incarnation: Incarnation, version: int
) -> Steps[bool]:
    """
    Store which version is active at an entry; returns whether the write was confirmed.
    """
    report = VersionReport(instance=instance, incarnation=incarnation, version=version)
    write = Put(table=REPORTS_TABLE, key=instance, value=msgspec.json.encode(report))
    result = yield Commit(conditions=(), writes=(write,))
    return isinstance(result, Ok)


def read_versions(
    instances: Iterable[InstanceId],
) -> Steps[dict[InstanceId, int] | None]:
    """
    Return the version that each entry reported, or ``None`` if the store call failed.
    """
    result = yield ReadRows(table=REPORTS_TABLE, keys=tuple(instances))
    if isinstance(result, Err):
        return None
    reports = [decode_json(row.value, type=VersionReport) for row in result.ok_value]
    return {report.instance: report.version for report in reports}


class ConfigurationHolder:
    """The active configuration of one process; its version never decreases."""

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._files: Bundle = {}

    @property
    def version(self) -> int:
        """The active version, 0 before the first one."""
        return 0 if self._configuration is None else self._configuration.version

    @property
    def configuration(self) -> Configuration | None:
        """The active configuration, ``None`` before the first one."""
        return self._configuration

    @property
    def files(self) -> Bundle:
        """The contents of the active version's files by name."""
        return self._files

    def get_texts_by_digest(self) -> dict[str, str]:
        """Return the contents of the active version's files by digest."""
        return {digest_text(text): text for text in self._files.values()}

    def activate_if_newer(self, files: Bundle, *, version: int) -> bool:
        """
        Activate a version if it is valid and higher than the active one.

        Returns
        -------
        bool
            Whether the version was activated.
        """
        if version <= self.version:
            return False
        configuration = build_configuration(files, version=version, findings=Findings())
        if configuration is None:
            return False
        self._configuration = configuration
        self._files = dict(files)
        return True


def digest_text(text: str) -> str:
    """Return the SHA-256 digest of a file in hexadecimal, the name of its object."""
    return hashlib.sha256(text.encode()).hexdigest()


def _merge_files(
    publication: Publication, base: Manifest | None
) -> Steps[Bundle | None]:
    """
    Return the files after the change, or ``None`` if the base could not be fetched.
    """
    merged: Bundle = {}
    if base is not None:
        kept = {
            name: digest
            for name, digest in base.files.items()
            if name not in publication.files and name not in publication.removed
        }
        present = yield from fetch(
            msgspec.structs.replace(base, files=kept), texts_by_digest={}
        )
        if present is None:
            return None
        merged.update(present)
    merged.update(publication.files)
    return merged


def _store_files(files: Bundle) -> Steps[bool]:
    for text in files.values():
        result = yield PutObject(name=digest_text(text), content=text.encode())
        if isinstance(result, Err):
            return False
    return True


def _make_publish_commit(
    manifest: Manifest,
    row_version: int,
    base: Manifest | None,
    publication: Publication,
) -> Commit:
    """
    Return the commit that replaces the manifest and adds it to history and audit trail.
    """
    content = msgspec.json.encode(manifest)
    before = "nothing" if base is None else f"version {base.version}"
    event = AuditEvent(
        id=publication.id,
        at=publication.at,
        who=publication.who,
        action="publish",
        subject=", ".join(
            [*sorted(publication.files), *(f"-{n}" for n in publication.removed)]
        ),
        before=before,
        after=f"version {manifest.version}",
    )
    return Commit(
        conditions=(
            Condition(table=CONFIGURATION_TABLE, key=MANIFEST_KEY, version=row_version),
        ),
        writes=(
            Put(table=CONFIGURATION_TABLE, key=MANIFEST_KEY, value=content),
            Put(
                table=CONFIGURATION_TABLE,
                key=_make_history_key(manifest.version),
                value=content,
            ),
            make_audit_write(event),
        ),
    )


def _confirm_publication(manifest: Manifest) -> Steps[PublishResult]:
    """Determine from the history row of the version whether the commit took effect."""
    history_key = _make_history_key(manifest.version)
    for _ in range(MAX_READ_BACKS):
        result = yield ReadRows(table=CONFIGURATION_TABLE, keys=(history_key,))
        if isinstance(result, Err):
            continue
        if not result.ok_value:
            continue
        found = decode_manifest(result.ok_value[0])
        if found.publication == manifest.publication:
            return PublishSucceeded(version=manifest.version)
        return PublishConflict(version=found.version, who=found.who)
    return PublishFailed(maybe_published=True)


def _make_history_key(version: int) -> str:
    return f"history/{version:012d}"
