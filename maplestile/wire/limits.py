"""Every size, count and time that the program keeps to: one type, filled at start and handed down."""

from dataclasses import dataclass, replace

from maplestile.dispatch.api import Settings

IDLE_MARGIN = 0.8  # of the runner's idle time: the router closes first, so that no send meets a close
RESERVE = 32  # descriptors for listeners, log, name server, interpreter, and a burst of accepts
BURSTS = 32  # accepted and not counted yet, or turned away and not closed yet: two bursts
BASE_MB = 20  # what the program takes before it has served anything
KB, MB = 1024, 1 << 20
ANSWER_BYTES = 230_000  # the longest body that a runner answers with


@dataclass(slots=True, frozen=True)
class Limits:
    # Clients.
    client_connections: int = 512
    client_streams: int = 32
    # For a whole message, from the connect or from its first byte: half of what a client waits for a word.
    client_message_us: int = 1_500_000
    client_grace_us: int = 200_000  # for a new connection to ask before it may have to make room
    client_silent_us: int = 1_000_000  # and before it goes ahead of those that asked, whose request is over
    client_unfinished_us: int = 750_000  # for the rest of a message, before it may have to make room
    client_surplus: int = 16  # connections over the cap, whose first request is refused
    client_faults: int = 64  # messages that cannot be used, on one connection: its client will not learn
    client_turn: int = 16  # messages of one connection before the others have their turn: 2 to 3 ms
    # Unread answers of one client: 4 s of one that reads 1 MB a second, about as long as it waits for any.
    client_write_bytes: int = 4 << 20
    all_write_bytes: int = 16 << 20  # and of all clients together
    client_last_us: int = 4_000_000  # for a client that closed, or was closed on, to read its last answers
    client_unread_us: int = 1_000_000  # of these, before it may have to make room: a reader is done by then
    client_linger_us: int = 100_000  # to read away what comes behind a message that cannot be followed
    accept_burst: int = 16  # connections accepted in one go; each takes a descriptor before it is looked at
    accept_queue: int = 1024  # connections that wait in the system to be accepted
    open_requests: int = 20_000
    open_bytes: int = 64 << 20  # of open requests: bodies, the copies of them on their way, and records
    lag_most_us: int = 60_000
    wait_most_us: int = 600_000_000  # a client's own limit beyond this is a mistake
    body_bytes: int = 16 * KB
    head_bytes: int = 1 * KB
    message_bytes: int = 32 * KB
    # The invoke front: for a whole request from its first bytes, and to read away what follows a refusal.
    http_request_us: int = 10_000_000
    http_linger_us: int = 1_000_000
    # The operators' front: a caller waits 1 s, some finish no call for 4 s. Its connections are taken out of
    # the clients' part, which holds a half where clients may hold a third.
    operator_connections: int = 16
    operator_request_us: int = 2_000_000
    operator_body_bytes: int = 1 * KB  # nothing there has a body of use
    operator_policy_bytes: int = 18 * KB  # but a policy, where the fleet decides on it
    operator_linger_us: int = 200_000
    runners_known: int = 20_000  # ids once listed that are remembered: 2 MB at the most
    # Runners.
    runner_connections: int = 480
    runner_streams: int = 32
    runner_queue: int = 4096
    # The least that the learned rest of a connection falls to (a handshake for each pause in the traffic),
    # and the time without a break after which it doubles.
    runner_rest_least_us: int = 50_000
    runner_rest_us: int = 5_000_000
    runner_line_bytes: int = 4 * ANSWER_BYTES // 3 + 4 * KB  # the longest answer in base64, and its head
    # Between two pieces of one answer: a tenth of the shortest aims, and far over a pause on the way.
    runner_line_us: int = 250_000
    # Without a sign for so long, while a request was given up there, a connection may lead nowhere.
    runner_silent_us: int = 500_000
    # For a runner's connection to take the rest of a line: the deadline in it may be so old, and no more.
    runner_stall_us: int = 100_000
    connect_timeout_us: int = 250_000
    runner_idle_us: int = 12_000_000
    load_timeout_us: int = 10_000_000
    probe_timeout_us: int = 250_000
    # The name server: polled well inside the 1.5 s after which a change counts as told.
    names_poll_us: int = 250_000
    names_timeout_us: int = 150_000
    names_read_bytes: int = 16 * KB  # a reply holds 8,000 at the most
    # To find the hosts that a list has no room for: the list tells drains, which bind 2 s later.
    names_complete_us: int = 600_000
    # Lists that were overtaken come late by some seconds, as from a server behind the others. One that has
    # numbered its lists anew stays behind, in reply after reply.
    names_restart_us: int = 12_000_000
    names_restart_replies: int = 20
    # A new process is to say yes within 6 s of its start, of which the start itself takes one or two.
    names_wait_us: int = 3_500_000
    # What the other process of an upgrade was told or has done: a small part of the grace of 2 s.
    folder_look_us: int = 100_000
    # A process that hands over: the quiet after which it ends a connection, until when it looks for such a
    # quiet, how long before SIGKILL it is to be gone, the least time that a request it still takes needs, and
    # how long it reads what crossed the end of a connection.
    handover_quiet_us: int = 20_000
    handover_choosy_us: int = 1_000_000
    handover_spare_us: int = 250_000
    handover_least_us: int = 250_000
    handover_linger_us: int = 100_000
    # The end: connections still come for 0.4 s after SIGTERM, requests on open ones for 0.2 s more.
    drain_least_us: int = 900_000
    # And then for a moment in which nothing is owed: where clients never stop, nothing more is taken later.
    drain_patience_us: int = 1_000_000
    # For the callers of deferred calls to come for results: they are told to ask again after 1 s.
    collect_us: int = 2_500_000
    # One read of a socket. A stream holds up to twice as much, so that a client has under 50 KB read ahead.
    runner_read_bytes: int = 32 * KB
    client_read_bytes: int = 16 * KB
    max_retry_after_us: int = 1_000_000

    # SIGKILL comes so long after SIGTERM and the longest deadline, which is taken as 3 s where it is longer.
    kill_spare_us: int = 700_000
    kill_deadline_us: int = 3_000_000
    # What was told, from which the budgets are cut.
    descriptors: int = 1024
    memory_mb: float = 192

    @classmethod
    def of(cls, settings: Settings, descriptors: int = 1024, memory_mb: float = 192) -> "Limits":
        default = cls()
        return cls(
            open_requests=settings.max_open or default.open_requests,
            runner_streams=settings.streams_per_connection,
            connect_timeout_us=settings.connect_timeout_us or default.connect_timeout_us,
            runner_idle_us=int(IDLE_MARGIN * settings.idle_close_us) or default.runner_idle_us,
            load_timeout_us=settings.load_timeout_us or default.load_timeout_us,
            descriptors=descriptors,
            memory_mb=memory_mb,
        ).shared(1)

    def kill_after_us(self, longest_us: int) -> int:
        return min(longest_us, self.kill_deadline_us) + self.kill_spare_us

    def shared(self, live: int) -> "Limits":
        """The budgets of one of so many processes that live side by side."""
        default, descriptors = type(self)(), self.descriptors // live
        # Runners are few, with a handful of connections each; clients hold a third, and come and go.
        runners = max(1, descriptors // 2 - RESERVE - BURSTS)
        spare = int(max(8, self.memory_mb / live - BASE_MB)) << 20
        return replace(
            self,
            client_connections=max(1, descriptors - runners - RESERVE - BURSTS - self.operator_connections),
            runner_connections=runners,
            open_bytes=min(default.open_bytes, spare // 3),
            all_write_bytes=(unread := min(default.all_write_bytes, spare // 8)),
            client_write_bytes=min(default.client_write_bytes, max(MB, unread // 2)),
        )
