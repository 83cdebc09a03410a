"""Makes the first voters' empty data folders the start of one log."""

from pathlib import Path

from ridgesill.adapters.file_log import FileLog
from ridgesill.app.settings import Settings
from ridgesill.core.log.replica import make_initial_snapshot

_FIRST_GENERATION = "0"


def first_identity(name: str) -> str:
    """Returns the voting identity of a founding node."""
    return f"{name}.{_FIRST_GENERATION}"


def found_log(settings: Settings) -> str:
    """Founds this node's data folder; returns its voting identity.

    To be called once for each seed before anything runs. A folder that was
    lost later must not be founded again: the node then joins by itself.
    """
    identity = first_identity(settings.name)
    voters = tuple(first_identity(name) for name in sorted(settings.seeds))
    storage = FileLog(Path(settings.data_folder))
    storage.initialize(identity, make_initial_snapshot(voters, b""))
    return identity
