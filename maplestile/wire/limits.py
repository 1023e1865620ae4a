"""The sizes, counts and times that a router keeps to, filled at its start and passed down.

`Limits` has a part for each concern. The end of a name gives the unit: `_us` are whole microseconds, `_bytes`
bytes, `_mb` megabytes; all others are counts of what they name.
"""

from dataclasses import dataclass, replace

from maplestile.dispatch.api import Settings

KB = 1024
MB = 1 << 20
IDLE_MARGIN = 0.8  # of the runner's idle time: the router closes first, so that no send meets a close
RESERVED_DESCRIPTORS = 32  # for listeners, log, name server, interpreter, and a burst of accepts
BURST_DESCRIPTORS = 32  # accepted and not counted yet, or rejected and not closed yet: two bursts
BASE_MEMORY_MB = 20  # what the program takes before it has served anything
MIN_SPARE_MEMORY_MB = 8  # for requests and unread answers, however little memory is left
ANSWER_BYTES = 230_000  # the longest body that a runner answers with


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Client connections."""

    connections: int = 512
    streams: int = 32  # open requests of one connection
    # For a whole message, from the connect or from its first byte: half of what a client waits for an answer.
    message_us: int = 1_500_000
    # For a new connection to send a request before it may be closed for others,
    grace_us: int = 200_000
    silent_us: int = 1_000_000  # and before it is closed ahead of those whose requests are answered
    unfinished_us: int = 750_000  # for the rest of a message, before it may be closed for others
    surplus_connections: int = 16  # over the cap, whose first request is rejected
    bad_messages: int = 64  # invalid messages of one connection, after which it is closed
    batch_messages: int = 16  # messages of one connection before the others have their turn: 2 to 3 ms
    # Unread answers of one client: 4 s of one that reads 1 MB a second, about as long as it waits for any.
    unread_bytes: int = 4 * MB
    all_unread_bytes: int = 16 * MB  # unread answers of all clients together
    close_us: int = 4_000_000  # for a client to read its last answers when its connection is closing
    # Of these, before it may be closed for others: a reader is done by then.
    unread_us: int = 1_000_000
    linger_us: int = 100_000  # to read and drop what follows a message after which framing is lost
    # Of a socket read: a stream holds up to twice as much, so that a client has under 50 KB read ahead.
    read_bytes: int = 16 * KB


@dataclass(slots=True, frozen=True)
class ListenerLimits:
    """Listening sockets, of every front."""

    accept_burst: int = 16  # connections accepted at once; each takes a descriptor before it is looked at
    accept_queue: int = 1024  # the listener's backlog


@dataclass(slots=True, frozen=True)
class RequestLimits:
    """Open requests of all clients together."""

    open_requests: int = 20_000
    open_bytes: int = 64 * MB  # of open requests: bodies, the copies of them on their way, and records
    max_lag_us: int = 60_000  # from the arrival of a request to its handling; rejected beyond that
    max_retry_after_us: int = 1_000_000


@dataclass(slots=True, frozen=True)
class MessageLimits:
    """One message of a platform client."""

    max_budget_us: int = 600_000_000  # the longest time that a client may give a request
    body_bytes: int = 16 * KB
    head_bytes: int = 1 * KB
    message_bytes: int = 32 * KB


@dataclass(slots=True, frozen=True)
class InvokeLimits:
    """The invoke front."""

    request_us: int = 10_000_000  # for a whole request from its first bytes
    linger_us: int = 1_000_000  # to read and drop what follows a rejection


@dataclass(slots=True, frozen=True)
class OperatorLimits:
    """The operators' front: a caller waits 1 s, some finish no call for 4 s.

    Its connections are taken out of the clients' part, which holds a half where clients may hold a third.
    """

    connections: int = 16
    request_us: int = 2_000_000
    body_bytes: int = 1 * KB  # of any request but a policy: none of them needs a body
    policy_bytes: int = 18 * KB  # of a policy, where the fleet agrees on one
    linger_us: int = 200_000
    known_runners: int = 20_000  # identities once listed that are remembered: 2 MB at the most


@dataclass(slots=True, frozen=True)
class RunnerLimits:
    """Connections to runners, and the lines on them."""

    connections: int = 480
    streams: int = 32  # open requests of one connection
    queued_messages: int = 4096  # that wait on one connection
    # The least that the learned idle timeout of a connection falls to (a handshake for each pause in the
    # traffic), and the time without a break after which it doubles.
    min_learned_idle_us: int = 50_000
    learned_idle_recovery_us: int = 5_000_000
    line_bytes: int = 4 * ANSWER_BYTES // 3 + 4 * KB  # the longest answer in base64, and its head
    # Between two pieces of one answer: a tenth of the shortest latency objectives, and far over a pause of
    # the network.
    line_pause_us: int = 250_000
    # A connection without an answer for so long, while a request on it was given up, may be dead.
    silent_us: int = 500_000
    # For a runner's connection to take the rest of a line: the deadline in it may be so old, and no more.
    stall_us: int = 100_000
    connect_timeout_us: int = 250_000
    idle_timeout_us: int = 12_000_000
    read_bytes: int = 32 * KB  # of a socket read; a stream holds up to twice as much


@dataclass(slots=True, frozen=True)
class ControlRequestLimits:
    """Load requests and health checks."""

    load_timeout_us: int = 10_000_000  # for the answer to a load request
    health_check_timeout_us: int = 250_000


@dataclass(slots=True, frozen=True)
class NameServerLimits:
    """The name server, polled well inside the 1.5 s after which a change counts as notified."""

    poll_us: int = 250_000
    timeout_us: int = 150_000
    read_bytes: int = 16 * KB  # a reply holds 8,000 at the most
    # To find the hosts that a list has no room for: the list notifies drains, which bind 2 s later.
    complete_us: int = 600_000
    # Lists that were overtaken come late by some seconds, as from a server behind the others. One that has
    # numbered its lists anew stays behind, in reply after reply.
    restart_us: int = 12_000_000
    restart_replies: int = 20
    # A new process is to be ready within 6 s of its start, of which the start itself takes one or two.
    start_wait_us: int = 3_500_000


@dataclass(slots=True, frozen=True)
class HandoverLimits:
    """Handover of a process to its successor."""

    # Between looks at what the other process wrote: a small part of the drain grace of 2 s.
    poll_us: int = 100_000
    quiet_us: int = 20_000  # the quiet after which a connection is closed
    quiet_wait_us: int = 1_000_000  # how long such a quiet is waited for
    spare_us: int = 250_000  # how long before SIGKILL the process ends
    min_budget_us: int = 250_000  # the least time that a request needs to be accepted still
    linger_us: int = 100_000  # how long what crossed the close of a connection is read


@dataclass(slots=True, frozen=True)
class ShutdownLimits:
    """Shutdown: connections still come for 0.4 s after SIGTERM, requests on open ones for 0.2 s more."""

    min_drain_us: int = 900_000
    # And then for a moment without open requests: where clients never stop, nothing more is accepted later.
    drain_patience_us: int = 1_000_000
    collect_us: int = 2_500_000  # for callers to poll for deferred results: they are to retry after 1 s
    # SIGKILL comes so long after SIGTERM and the longest deadline, of which no more than this is waited.
    kill_spare_us: int = 700_000
    kill_deadline_us: int = 3_000_000


@dataclass(slots=True, frozen=True)
class ProcessLimits:
    """The limits that the system puts on the process, from which the budgets are cut."""

    descriptors: int = 1024
    memory_mb: float = 192


@dataclass(slots=True, frozen=True)
class Limits:
    """The limits of one router, by concern."""

    clients: ClientLimits = ClientLimits()
    listeners: ListenerLimits = ListenerLimits()
    requests: RequestLimits = RequestLimits()
    messages: MessageLimits = MessageLimits()
    invoke: InvokeLimits = InvokeLimits()
    operators: OperatorLimits = OperatorLimits()
    runners: RunnerLimits = RunnerLimits()
    control_requests: ControlRequestLimits = ControlRequestLimits()
    names: NameServerLimits = NameServerLimits()
    handover: HandoverLimits = HandoverLimits()
    shutdown: ShutdownLimits = ShutdownLimits()
    process: ProcessLimits = ProcessLimits()

    @classmethod
    def from_settings(cls, settings: Settings, descriptors: int = 1024, memory_mb: float = 192) -> "Limits":
        """Return the limits under the notified settings, for a router that is alone in its process limits."""
        default = cls()
        runners = RunnerLimits(
            streams=settings.streams_per_connection,
            connect_timeout_us=settings.connect_timeout_us or default.runners.connect_timeout_us,
            idle_timeout_us=int(IDLE_MARGIN * settings.idle_close_us) or default.runners.idle_timeout_us,
        )
        load_timeout_us = settings.load_timeout_us or default.control_requests.load_timeout_us
        return cls(
            requests=RequestLimits(open_requests=settings.max_open or default.requests.open_requests),
            runners=runners,
            control_requests=ControlRequestLimits(load_timeout_us=load_timeout_us),
            process=ProcessLimits(descriptors, memory_mb),
        ).shared(1)

    def kill_after_us(self, longest_us: int) -> int:
        """Return the time from SIGTERM to SIGKILL, if the longest deadline of a class is `longest_us`."""
        shutdown = self.shutdown
        return min(longest_us, shutdown.kill_deadline_us) + shutdown.kill_spare_us

    def shared(self, live: int) -> "Limits":
        """Return the limits of one of `live` processes that share descriptors and memory."""
        default = type(self)()
        descriptors = self.process.descriptors // live
        # Runners are few, with a handful of connections each; clients hold a third, and come and go.
        runners = max(1, descriptors // 2 - RESERVED_DESCRIPTORS - BURST_DESCRIPTORS)
        operators = self.operators.connections
        clients = descriptors - runners - RESERVED_DESCRIPTORS - BURST_DESCRIPTORS - operators
        spare_mb = int(max(MIN_SPARE_MEMORY_MB, self.process.memory_mb / live - BASE_MEMORY_MB))
        spare_bytes = spare_mb * MB
        all_unread_bytes = min(default.clients.all_unread_bytes, spare_bytes // 8)
        return replace(
            self,
            clients=replace(
                self.clients,
                connections=max(1, clients),
                all_unread_bytes=all_unread_bytes,
                unread_bytes=min(default.clients.unread_bytes, max(MB, all_unread_bytes // 2)),
            ),
            requests=replace(self.requests, open_bytes=min(default.requests.open_bytes, spare_bytes // 3)),
            runners=replace(self.runners, connections=runners),
        )
