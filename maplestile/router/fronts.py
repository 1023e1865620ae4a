"""Opens the fronts of a router process: the platform front, the invoke front and the operators' front.

The invoke front, the operators' front and the state shared between processes are imported inside functions,
which saves start time and memory in platform nodes that do not use them.
"""

import logging
from typing import TYPE_CHECKING

from maplestile.common.address import parse_address
from maplestile.net.listen import Listener
from maplestile.net.platform import PlatformFront
from maplestile.requests.recent_ids import RecentIds
from maplestile.router.components import Components, InvokeFront
from maplestile.router.readiness import Readiness

if TYPE_CHECKING:  # imported at run time only if the configuration needs it, to save start time and memory
    from maplestile.operation.service import OperatorService

log = logging.getLogger("maplestile")


async def open_client_fronts(components: Components, readiness: Readiness) -> list[Listener]:
    """Open each configured client front. Raises OSError if an address cannot be bound."""
    listeners = list[Listener]()
    if components.config.listen is not None:
        listeners.append(await _open_platform_front(components, readiness))
    if components.config.operator_settings is not None:
        listeners.append(await _open_invoke_front(components))
    return listeners


async def open_operator_front(components: Components, readiness: Readiness) -> Listener | None:
    """Load the state shared with the predecessor process, and open the operators' front.

    Do neither, and return None, if the configuration has no address for operators. Raises OSError if the
    address cannot be bound.
    """
    config = components.config
    if config.operation is None:
        return None
    from maplestile.net.http import HttpFront
    from maplestile.operation.api import OperatorApi

    _load_shared_state(components)
    api = OperatorApi(_operator_service(components, readiness), components.limits)
    http = HttpFront("operator", api, components.counters, components.received_us)
    listener = await http.start(*config.operation)
    _log_listener(components, "operator", listener)
    return listener


def _operator_service(components: Components, readiness: Readiness) -> "OperatorService":
    from maplestile.operation.service import OperatorService

    assert components.cordons is not None
    return OperatorService(
        components.core,
        components.endpoints,
        components.cordons,
        lambda: components.runners.calls_written,
        readiness.not_ready_reason,
        lambda: None if components.peers is None else components.peers.members(),
        lambda: None if components.peers is None else components.peers.metrics(),
        components.policy,
    )


def _load_shared_state(components: Components) -> None:
    """Load the cordons from the configured folder, and join the handover between processes that share it."""
    from maplestile.operation.cordons import Cordons
    from maplestile.operation.handover import Handover
    from maplestile.operation.id_exchange import IdExchange
    from maplestile.operation.shared_endpoints import SharedEndpoints
    from maplestile.operation.state_folder import FileCordonStore, ProcessLocks

    config = components.config
    store = FileCordonStore(config.folder / "suspended") if config.folder is not None else None
    components.cordons = Cordons(
        store, components.limits.operators, components.counters, components.publish_endpoints
    )
    components.cordons.refresh()
    # No handover with an invoke front, because a successor would not have this process's records of calls.
    if config.folder is None or config.operator_settings is not None:
        return
    try:
        components.handover = Handover(ProcessLocks(config.folder))
    except OSError as error:
        log.warning("%s cannot be replaced while it serves: %s", components.name, error)
        return
    components.shared_endpoints = SharedEndpoints(config.folder, components.counters)
    components.adopt_endpoints()
    recent_ids = RecentIds(components.limits.requests.recent_ids)
    components.id_exchange = IdExchange(recent_ids, config.folder, components.counters)
    if components.handover.is_alone:
        components.id_exchange.stop_sharing()  # removes what killed processes have left


async def _open_platform_front(components: Components, readiness: Readiness) -> Listener:
    config = components.config
    assert config.listen is not None
    exchange = components.id_exchange
    front = PlatformFront(
        components.core,
        components.limits,
        components.counters,
        components.selector,
        readiness.is_ready,
        exchange.add if exchange is not None else None,
    )
    components.platform = front
    # Even if the folder is unusable: two processes that cannot hand over may still serve one after the other.
    reuse_port = config.operation is not None and config.operator_settings is None
    listener = await front.start(*config.listen, reuse_port)
    components.platform_listener = listener
    _log_listener(components, "platform", listener)
    return listener


async def _open_invoke_front(components: Components) -> Listener:
    from maplestile.invoke.api import InvokeApi
    from maplestile.net.http import HttpFront
    from maplestile.router.records import open_records

    settings = components.config.operator_settings
    assert settings is not None
    components.records = await open_records(components, settings.records_folder)
    journal = None if components.records is None else components.records.journal
    api = InvokeApi(components.core, settings, components.counters, journal)
    http = HttpFront("invoke", api, components.counters, components.received_us)
    listener = await http.start(*parse_address(settings.listen))
    if components.records is not None:
        api.restore(components.records.invocations)  # before a caller can ask for one of them
    components.invoke = InvokeFront(api, http, listener)
    _log_listener(components, "invoke", listener)
    return listener


def _log_listener(components: Components, front: str, listener: Listener) -> None:
    host, port = listener.address
    known = len(components.endpoints.entries)
    log.info("%s: %s front listens on %s:%d, %d runners known", components.name, front, host, port, known)
