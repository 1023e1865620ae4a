"""The endpoint list that a serving process leaves to its successor, in a file that both can read.

A successor starts with the list of its configuration. If the name server is silent, that list may be older
than the one that its predecessor follows, and a runner that drains by the newer list would get calls again.
The file holds one update in the form of the configuration's `known`.
"""

import json
import logging
from collections import Counter
from pathlib import Path
from typing import Any

from maplestile.common.address import Address
from maplestile.requests.endpoint_list import EndpointList, EndpointListError

log = logging.getLogger(__name__)
FILE_NAME = "endpoints"


class SharedEndpoints:
    """The file with the list of the process that serves; serials are those of one name server."""

    def __init__(self, folder: Path, counters: Counter[str]) -> None:
        self._file = folder / FILE_NAME
        self._counters = counters
        self._read_mtime_ns = 0  # of the file when it was last read

    def save(self, endpoints: EndpointList, name_server: Address | None) -> bool:
        """Replace the file; return false if it cannot be written, which is counted and logged."""
        content = {"name_server": _encode(name_server), "known": endpoints.as_updates()}
        temporary = self._file.with_name(f"{FILE_NAME}.new")
        try:
            temporary.write_text(json.dumps(content))
            temporary.replace(self._file)
        except OSError as error:
            self._report_error(error)
            return False
        return True

    def load_if_changed(self, name_server: Address | None) -> EndpointList | None:
        """Return the list in the file, or None if it was read before or cannot be used.

        It cannot be used if it is missing, invalid, or of another name server.
        """
        try:
            mtime_ns = self._file.stat().st_mtime_ns
            if mtime_ns == self._read_mtime_ns:
                return None
            text = self._file.read_text()
            self._read_mtime_ns = mtime_ns  # also of an invalid file, which is reported once
            content: dict[str, Any] = json.loads(text)
            if content["name_server"] != _encode(name_server):
                return None
            endpoints = EndpointList()
            endpoints.apply_updates(content["known"])
        except FileNotFoundError:
            return None
        except (OSError, ValueError, KeyError, TypeError, RecursionError, EndpointListError) as error:
            self._report_error(error)
            return None
        return endpoints

    def _report_error(self, error: Exception) -> None:
        self._counters["operation.endpoint_file_faults"] += 1
        log.warning("cannot use the file of the serving process's endpoints: %s", error)


def _encode(address: Address | None) -> str:
    """Return an address as text; it is empty if there is none."""
    return "" if address is None else f"{address[0]}:{address[1]}"
