"""Initialises the data folders of the first voters of the log."""

from pathlib import Path

from ridgesill.adapters.file_log import FileLog
from ridgesill.app.settings import Settings
from ridgesill.core.log.replica import make_initial_snapshot

_FIRST_GENERATION = "0"


def founding_identity(name: str) -> str:
    """Returns the voting identity of one of the first voters."""
    return f"{name}.{_FIRST_GENERATION}"


def found_log(settings: Settings) -> str:
    """Initialises this node's data folder; returns its voting identity.

    Call it once for each seed before any node runs. Don't call it again for a
    folder that was lost later: the node then joins the existing log by itself.
    """
    identity = founding_identity(settings.name)
    voters = tuple(founding_identity(name) for name in sorted(settings.seeds))
    storage = FileLog(Path(settings.data_folder))
    storage.initialize(identity, make_initial_snapshot(voters, b""))
    return identity
