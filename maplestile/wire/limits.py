"""The sizes, counts and times that limit a router; set at startup and passed to its components.

`Limits` groups them by concern. The suffix of a name gives the unit: `_us` for whole microseconds, `_bytes`
for bytes, `_mb` for megabytes; all others are counts of what they name.
"""

from dataclasses import dataclass, replace

from maplestile.dispatch.api import Settings

KB = 1024
MB = 1 << 20
# Share of the runner's idle time after which the router closes a connection: it closes first, so that no
# request crosses the runner's close.
IDLE_TIMEOUT_SHARE = 0.8
RESERVED_DESCRIPTORS = 32  # for listeners, log, name server, interpreter, and a burst of accepted connections
# For connections that are accepted and not counted yet, or rejected and not closed yet: two bursts.
BURST_DESCRIPTORS = 32
BASE_MEMORY_MB = 20.0  # least memory of a process before it has served any request
CONNECTION_BYTES = 6 * KB  # memory of an open client connection that holds no input
MIN_SPARE_MEMORY_MB = 4  # minimum memory for requests and unread answers, however little is available
FUNCTIONS_SHARE = 3  # part of the spare memory for the functions that the dispatcher remembers
FUNCTION_BYTES = 2_500  # memory of one of them, with its copies
RECENT_IDS_SHARE = 32  # part of the spare memory for the ids of the latest requests
RECENT_ID_BYTES = 32  # memory for each of them, twice as many being kept at times
READS_AHEAD = 3  # socket reads that a stream may buffer
READ_AHEAD_SHARE = 4  # part of the spare memory for what the streams of all clients buffer
ANSWER_BYTES = 230_000  # longest body of a runner's answer
LINE_BYTES = 4 * ANSWER_BYTES // 3 + 4 * KB  # the longest answer in base64, and its head
MIN_INCOMPLETE_ANSWERS = 4  # of the longest ones that have room at once, however little memory there is


@dataclass(slots=True, frozen=True)
class ClientLimits:
    """Client connections."""

    connections: int = 512
    streams: int = 32  # open requests of one connection
    # Time for a complete message, from the connect or from its first byte: half of the time that a client
    # waits for an answer.
    message_us: int = 1_500_000
    # Time for a new connection to send a request; until then it is the last to be evicted for another one.
    first_request_us: int = 200_000
    # Time after which a connection that has sent no request is evicted before those that have.
    silent_us: int = 1_000_000
    # Time for a message to arrive completely; after that its connection may be evicted.
    unfinished_eviction_us: int = 750_000
    surplus_connections: int = 16  # connections over the cap, whose first request is rejected
    bad_messages: int = 64  # invalid messages after which a connection is closed
    # Messages of one connection that are handled before others have their turn: 2 to 3 ms of work.
    batch_messages: int = 16
    # Unread answers of one client: at 1 MB/s it reads them in 4 s, about as long as it waits for an answer.
    unread_bytes: int = 4 * MB
    all_unread_bytes: int = 16 * MB  # unread answers of all clients together
    close_us: int = 4_000_000  # time for a client to read its last answers when its connection is closing
    # Time after which a closing connection with unread answers may be evicted; clients that read need less.
    unread_eviction_us: int = 1_000_000
    linger_us: int = 100_000  # time to read and discard input after a message that cannot be framed
    # Size of a socket read. A stream buffers up to three times as much before it stops reading.
    read_bytes: int = 16 * KB
    incomplete_bytes: int = 16 * MB  # incomplete messages of all clients together


@dataclass(slots=True, frozen=True)
class ListenerLimits:
    """Listening sockets of all fronts."""

    accept_burst: int = 16  # connections accepted in a row; each takes a descriptor before it is checked
    accept_queue: int = 1024  # backlog of a listening socket


@dataclass(slots=True, frozen=True)
class RequestLimits:
    """Open requests of all clients together."""

    open_requests: int = 20_000
    open_bytes: int = 64 * MB  # memory of open requests: bodies, copies of them being sent, and records
    max_lag_us: int = 60_000  # from the arrival of a request to its handling; later ones are rejected
    max_retry_after_us: int = 1_000_000  # longest time after which a rejected client is told to retry
    functions: int = 30_000  # functions that the dispatcher remembers
    recent_ids: int = 65_536  # ids of the latest requests that are remembered at least; a power of two


@dataclass(slots=True, frozen=True)
class MessageLimits:
    """One message of a client of the platform front."""

    max_budget_us: int = 600_000_000  # longest time that a client may give a request
    body_bytes: int = 16 * KB
    head_bytes: int = 1 * KB
    message_bytes: int = 32 * KB


@dataclass(slots=True, frozen=True)
class InvokeLimits:
    """The invoke front."""

    request_us: int = 10_000_000  # time for a complete request, from its first bytes
    linger_us: int = 1_000_000  # time to read and discard input after a rejection


@dataclass(slots=True, frozen=True)
class OperatorLimits:
    """The operators front. Callers wait 1 s for an answer, but some do not complete a request for 4 s.

    Its connections come out of the clients' share of the descriptors, which is a half, although clients may
    hold only a third.
    """

    connections: int = 16
    request_us: int = 2_000_000  # time for a complete request, from its first bytes
    body_bytes: int = 1 * KB  # body of any request other than a policy; none of them needs one
    policy_bytes: int = 18 * KB  # body of a policy, if the fleet agrees on one
    linger_us: int = 200_000  # time to read and discard input after a rejection
    known_runners: int = 20_000  # runner uids that are remembered once listed: at most 2 MB


@dataclass(slots=True, frozen=True)
class RunnerLimits:
    """Connections to runners, and the messages on them."""

    connections: int = 480
    streams: int = 32  # open requests of one connection
    queued_messages: int = 4096  # messages that wait on one connection
    # Lower bound of the learned idle timeout; there, each pause in the traffic costs a new handshake.
    min_learned_idle_us: int = 50_000
    # Time without a broken connection after which the learned timeout doubles.
    learned_idle_recovery_us: int = 5_000_000
    line_bytes: int = LINE_BYTES
    incomplete_bytes: int = 16 * MB  # incomplete answers on all connections together
    # Longest pause between two pieces of one answer: a tenth of the shortest latency objectives, and far
    # longer than a pause of the network.
    line_pause_us: int = 250_000
    # A connection may be dead if a request on it is cancelled after more than this time without any input.
    silent_us: int = 500_000
    # Time for a connection to accept the rest of a message: the remaining time that is given in the message
    # may be out of date by this much at most.
    stall_us: int = 100_000
    connect_timeout_us: int = 250_000
    idle_timeout_us: int = 12_000_000
    read_bytes: int = 32 * KB  # size of a socket read; a stream buffers up to twice as much


@dataclass(slots=True, frozen=True)
class ControlRequestLimits:
    """Load requests and health checks."""

    load_timeout_us: int = 10_000_000  # time for the answer to a load request
    health_check_timeout_us: int = 250_000


@dataclass(slots=True, frozen=True)
class NameServerLimits:
    """Queries to the name server. A change counts as announced after 1.5 s, so polls are much faster."""

    poll_us: int = 250_000  # interval
    timeout_us: int = 150_000  # of one query
    read_bytes: int = 16 * KB  # size of a socket read; a reply has at most 8,000 bytes
    # Time to query the hosts that a list has no room for. The list also announces drains, which must be
    # obeyed 2 s later.
    complete_us: int = 600_000
    # A reply that was overtaken, or a server that lags behind the others, gives older serials only for some
    # seconds. A server whose serials have started again gives them in every reply: it is recognized after
    # `restart_us` and `restart_replies` replies in a row.
    restart_us: int = 12_000_000
    restart_replies: int = 20
    # How long a new process waits for the first list. It must be ready within 6 s of being started, and
    # startup itself takes 1 to 2 s of that.
    start_wait_us: int = 3_500_000


@dataclass(slots=True, frozen=True)
class HandoverLimits:
    """Handover from a process to its successor."""

    # Interval at which what the other process wrote is read: a small part of the drain grace of 2 s.
    poll_us: int = 100_000
    idle_us: int = 20_000  # time without activity after which a connection is closed
    idle_wait_us: int = 1_000_000  # how long the process waits for its connections to be idle
    spare_us: int = 250_000  # how long before SIGKILL the process exits
    min_budget_us: int = 250_000  # minimum remaining time with which a request is still accepted
    linger_us: int = 100_000  # how long input that crossed the close of a connection is read


@dataclass(slots=True, frozen=True)
class ShutdownLimits:
    """Shutdown. Connections still arrive for 0.4 s after SIGTERM, requests on open ones for 0.2 s more."""

    min_drain_us: int = 900_000  # minimum time for which requests are served after SIGTERM
    # How long the process then waits for a moment without open requests. After that it rejects new requests,
    # since clients that never stop calling would keep it waiting.
    drain_patience_us: int = 1_000_000
    # Time for callers to fetch deferred results; they are told to retry after 1 s.
    collect_us: int = 2_500_000
    # SIGKILL follows SIGTERM after the longest deadline, or `kill_deadline_us` if that is shorter, and then
    # `kill_spare_us`.
    kill_spare_us: int = 700_000
    kill_deadline_us: int = 3_000_000


@dataclass(slots=True, frozen=True)
class ProcessLimits:
    """The limits of the system on the process, from which other limits are derived."""

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
        """Return the limits for these settings, for a router that shares its process limits with no other."""
        default = cls()
        runners = RunnerLimits(
            streams=settings.streams_per_connection,
            connect_timeout_us=settings.connect_timeout_us or default.runners.connect_timeout_us,
            idle_timeout_us=int(IDLE_TIMEOUT_SHARE * settings.idle_close_us)
            or default.runners.idle_timeout_us,
        )
        load_timeout_us = settings.load_timeout_us or default.control_requests.load_timeout_us
        return cls(
            requests=RequestLimits(open_requests=settings.max_open or default.requests.open_requests),
            runners=runners,
            control_requests=ControlRequestLimits(load_timeout_us=load_timeout_us),
            process=ProcessLimits(descriptors, memory_mb),
        ).divided_among(1)

    def kill_after_us(self, longest_us: int) -> int:
        """Return the time from SIGTERM to SIGKILL; `longest_us` is the longest deadline of a class."""
        shutdown = self.shutdown
        return min(longest_us, shutdown.kill_deadline_us) + shutdown.kill_spare_us

    def divided_among(self, process_count: int, base_memory_mb: float = BASE_MEMORY_MB) -> "Limits":
        """Return the limits of one process where `process_count` processes share descriptors and memory.

        `base_memory_mb` is the memory of the process before it has served any request.
        """
        default = type(self)()
        descriptors = self.process.descriptors // process_count
        # Runners are few, with a handful of connections each; clients hold a third of the descriptors, and
        # come and go.
        runners = max(1, descriptors // 2 - RESERVED_DESCRIPTORS - BURST_DESCRIPTORS)
        operators = self.operators.connections
        clients = descriptors - runners - RESERVED_DESCRIPTORS - BURST_DESCRIPTORS - operators
        connections_mb = clients * CONNECTION_BYTES / MB
        spare_mb = self.process.memory_mb / process_count - base_memory_mb - connections_mb
        spare_bytes = int(max(MIN_SPARE_MEMORY_MB, spare_mb)) * MB
        all_unread_bytes = min(default.clients.all_unread_bytes, spare_bytes // 8)
        read_bytes = spare_bytes // (READ_AHEAD_SHARE * READS_AHEAD * max(1, clients)) // KB * KB
        recent_ids = spare_bytes // (RECENT_IDS_SHARE * RECENT_ID_BYTES)
        return replace(
            self,
            clients=replace(
                self.clients,
                connections=max(1, clients),
                all_unread_bytes=all_unread_bytes,
                unread_bytes=min(default.clients.unread_bytes, max(MB, all_unread_bytes // 2)),
                read_bytes=min(default.clients.read_bytes, max(KB, read_bytes)),
                incomplete_bytes=min(default.clients.incomplete_bytes, spare_bytes // 8),
            ),
            requests=replace(
                self.requests,
                open_bytes=min(default.requests.open_bytes, spare_bytes // 3),
                functions=min(default.requests.functions, spare_bytes // (FUNCTIONS_SHARE * FUNCTION_BYTES)),
                recent_ids=min(default.requests.recent_ids, 1 << (recent_ids.bit_length() - 1)),
            ),
            runners=replace(
                self.runners,
                connections=runners,
                incomplete_bytes=max(
                    MIN_INCOMPLETE_ANSWERS * LINE_BYTES,
                    min(default.runners.incomplete_bytes, spare_bytes // 4),
                ),
            ),
        )
