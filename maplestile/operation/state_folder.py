"""The state that the two processes of a handover share: cordons in a folder, and locks on files."""

import contextlib
import fcntl
import os
from pathlib import Path
from urllib.parse import quote, unquote

FILE_PREFIX = "r-"  # without it, a name such as `..` would be a folder, and `.a` a hidden file
LOCK_FILE_MODE = 0o600


class FileCordonStore:
    """A store of names as empty files: one atomic system call creates or removes each, so no lock is needed.

    Every method may raise OSError.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        # Ignored here, since every method that uses the folder raises OSError too.
        with contextlib.suppress(OSError):
            folder.mkdir(parents=True, exist_ok=True)

    def names(self) -> set[str]:
        """Return the stored names."""
        file_names = [path.name for path in self.folder.iterdir()]
        return {
            unquote(name.removeprefix(FILE_PREFIX)) for name in file_names if name.startswith(FILE_PREFIX)
        }

    def put(self, name: str) -> None:
        """Store a name. Does nothing if it is already stored."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._file(name).touch()

    def remove(self, name: str) -> None:
        """Remove a name. Does nothing if it is not stored."""
        self._file(name).unlink(missing_ok=True)

    def _file(self, name: str) -> Path:
        return self.folder / (FILE_PREFIX + quote(name, safe=""))


class ProcessLocks:
    """Advisory locks on files. The kernel releases them when their process ends, also if it is killed."""

    def __init__(self, folder: Path) -> None:
        """Create the folder if it does not exist. Raises OSError."""
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self.descriptors: dict[str, int] = {}  # file descriptors of the locks held by this process, by name

    def acquire(self, name: str) -> bool:
        """Try to acquire a lock, and return whether it was free."""
        descriptor = self._open(name)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            return False
        os.truncate(descriptor, 0)  # removes the marker of a holder that has ended
        self.descriptors[name] = descriptor
        return True

    def release(self, name: str) -> None:
        """Release a lock held by this process."""
        os.close(self.descriptors.pop(name))

    def is_held(self, name: str) -> bool:
        """Return whether another process holds a lock. This process must not hold it itself."""
        descriptor = self._open(name)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(descriptor)
        return False

    def write_marker(self, name: str, marker: bytes) -> None:
        """Write a marker, which other processes can read, to a lock held by this process."""
        os.pwrite(self.descriptors[name], marker, 0)
        os.truncate(self.descriptors[name], len(marker))

    def has_marker(self, name: str, marker: bytes) -> bool:
        """Return whether a lock has this marker."""
        try:
            return (self.folder / name).read_bytes() == marker
        except OSError:
            return False

    def _open(self, name: str) -> int:
        return os.open(self.folder / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, LOCK_FILE_MODE)
