"""What the two processes of an upgrade share: names on a shelf, and locks that end with their owner."""

import contextlib
import fcntl
import os
from pathlib import Path
from urllib.parse import quote, unquote

PREFIX = "r-"  # so that no name is hidden, or means a folder


class FileCordonStore:
    """Names as empty files: each comes and goes by one system call, whole, with no lock."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        with contextlib.suppress(OSError):  # told again, by name, as soon as it is used
            folder.mkdir(parents=True, exist_ok=True)

    def names(self) -> set[str]:
        return {unquote(n[len(PREFIX) :]) for n in os.listdir(self.folder) if n.startswith(PREFIX)}

    def put(self, name: str) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self._file(name).touch()

    def remove(self, name: str) -> None:
        self._file(name).unlink(missing_ok=True)

    def _file(self, name: str) -> Path:
        return self.folder / (PREFIX + quote(name, safe=""))


class ProcessLocks:
    """Advisory locks on files; the kernel frees them when their process ends, however it ends."""

    def __init__(self, folder: Path) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.folder, self.mine = folder, dict[str, int]()

    def take(self, name: str) -> bool:
        file = self._open(name)
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(file)
            return False
        os.truncate(file, 0)  # what one that died has left
        self.mine[name] = file
        return True

    def give(self, name: str) -> None:
        os.close(self.mine.pop(name))

    def held(self, name: str) -> bool:
        """By another process; not to be asked of an own lock."""
        file = self._open(name)
        try:
            fcntl.flock(file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except OSError:
            return True
        finally:
            os.close(file)
        return False

    def mark(self, name: str, mark: bytes) -> None:
        """Something for others to read while the lock is held."""
        os.pwrite(self.mine[name], mark, 0)
        os.truncate(self.mine[name], len(mark))

    def marked(self, name: str, mark: bytes) -> bool:
        try:
            return (self.folder / name).read_bytes() == mark
        except OSError:
            return False

    def _open(self, name: str) -> int:
        return os.open(self.folder / name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
