"""
Settings file
=============

The settings file of a gateway, which is reloaded on a signal and whenever it has
changed.
"""

from pathlib import Path

from damasklead.findings import Findings
from damasklead.gateway.journal import Journal
from damasklead.gateway.settings import GatewaySettings, check_gateway_settings

__all__ = ["SettingsFile"]


class SettingsFile:
    """
    The settings file of one gateway.

    Parameters
    ----------
    path : Path
    settings : GatewaySettings
        As read from the file at start-up.
    journal : Journal
    """

    def __init__(
        self, *, path: Path, settings: GatewaySettings, journal: Journal
    ) -> None:
        self._path = path
        self._settings = settings
        self._journal = journal
        self._stamp = _read_stamp(path)

    @property
    def settings(self) -> GatewaySettings:
        """The active settings."""
        return self._settings

    @property
    def has_changed(self) -> bool:
        """Whether the file was modified since it was last read."""
        return _read_stamp(self._path) != self._stamp

    def reload(self) -> bool:
        """
        Reload the file; if it is invalid, the old settings stay active.

        Returns
        -------
        bool
            Whether the file could be read and was valid.
        """
        self._stamp = _read_stamp(self._path)
        findings = Findings()
        try:
            text = self._path.read_text()
        except OSError as error:
            self._journal.event("reload-failed", cause=str(error))
            return False
        settings = check_gateway_settings(text, file=str(self._path), findings=findings)
        if settings is None:
            self._journal.event("reload-failed", findings="; ".join(map(str, findings)))
            return False
        before, self._settings = self._settings, settings
        self._journal.event("reloaded", changed=settings != before)
        return True


def _read_stamp(file: Path) -> tuple[int, int]:
    """Return a file's modification time in ns and its size; zeros if it is missing."""
    try:
        status = file.stat()
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
