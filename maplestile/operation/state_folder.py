"""What the two processes of an upgrade share: names in a folder, and locks that end with their owner."""

import contextlib
import fcntl
import os
from pathlib import Path
from urllib.parse import quote, unquote

FILE_PREFIX = "r-"  # so that no name is hidden, or means a folder
LOCK_FILE_MODE = 0o600


class FileCordonStore:
    """Names as empty files: each is created and removed by one atomic system call, with no lock.

    Every call may raise OSError.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        # Each call that uses the folder raises the failure again.
        with contextlib.suppress(OSError):
            folder.mkdir(parents=True, exist_ok=True)

    def names(self) -> set[str]:
        """Return the names stored."""
        file_names = [path.name for path in self.folder.iterdir()]
        return {
            unquote(name.removeprefix(FILE_PREFIX)) for name in file_names if name.startswith(FILE_PREFIX)
        }

    def put(self, name: str) -> None:
        """Store a name."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self._file(name).touch()

    def remove(self, name: str) -> None:
        """Remove a name, if it is stored."""
        self._file(name).unlink(missing_ok=True)

    def _file(self, name: str) -> Path:
        return self.folder / (FILE_PREFIX + quote(name, safe=""))


class ProcessLocks:
    """Advisory locks on files; the kernel releases them when their process ends, however it ends."""

    def __init__(self, folder: Path) -> None:
        """Create the folder if need be. Raises OSError."""
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder
        self.descriptors: dict[str, int] = {}  # of the locks held by this process, by name

    def acquire(self, name: str) -> bool:
        """Acquire a lock, and return whether it was free."""
        descriptor = self._open(name)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            return False
        os.truncate(descriptor, 0)  # the mark of a holder that died
        self.descriptors[name] = descriptor
        return True

    def release(self, name: str) -> None:
        """Release a lock held by this process."""
        os.close(self.descriptors.pop(name))

    def is_held(self, name: str) -> bool:
        """Return whether another process holds a lock; not for a lock held by this process."""
        descriptor = self._open(name)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(descriptor)
        return False

    def mark(self, name: str, mark: bytes) -> None:
        """Write something for others to read while this process holds the lock."""
        os.pwrite(self.descriptors[name], mark, 0)
        os.truncate(self.descriptors[name], len(mark))

    def has_mark(self, name: str, mark: bytes) -> bool:
        """Return whether the lock carries this mark."""
        try:
            return (self.folder / name).read_bytes() == mark
        except OSError:
            return False

    def _open(self, name: str) -> int:
        return os.open(self.folder / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, LOCK_FILE_MODE)
