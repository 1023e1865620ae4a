"""Every size, count and time that the program keeps to: one type, filled at start and handed down."""

from dataclasses import dataclass

from maplestile.interface import Settings

IDLE_MARGIN = 0.8  # of the runner's idle time: the router closes first, so that no send meets a close
CLIENT_PART = 3  # one descriptor in so many may be a client's


@dataclass(slots=True, frozen=True)
class Limits:
    # Clients.
    client_connections: int = 341
    client_streams: int = 32
    client_write_bytes: int = 1 << 20
    open_requests: int = 20_000
    lag_most_us: int = 60_000
    body_bytes: int = 16 * 1024
    head_bytes: int = 1024
    message_bytes: int = 32 * 1024
    # Runners.
    runner_connections: int = 480
    runner_streams: int = 32
    runner_queue: int = 4096
    runner_line_bytes: int = 64 * 1024
    # Between two pieces of one answer: a tenth of the shortest aims, and far over a pause on the way.
    runner_line_us: int = 250_000
    # Without a sign for so long, while a request was given up there, a connection may lead nowhere.
    runner_silent_us: int = 500_000
    connect_timeout_us: int = 250_000
    runner_idle_us: int = 12_000_000
    order_timeout_us: int = 10_000_000
    probe_timeout_us: int = 250_000
    # The name server: polled well inside the 1.5 s after which a change counts as told.
    names_poll_us: int = 250_000
    names_timeout_us: int = 150_000
    # The end: connections still come for 0.4 s after SIGTERM, requests on open ones for 0.2 s more.
    drain_least_us: int = 900_000
    read_bytes: int = 64 * 1024
    max_retry_after_us: int = 1_000_000

    @classmethod
    def of(cls, settings: Settings, descriptors: int = 1024) -> "Limits":
        default = cls()
        return cls(
            client_connections=max(1, descriptors // CLIENT_PART),
            # A part is left over for the listener, the log, the name server and the interpreter.
            runner_connections=max(1, descriptors // 2 - 32),
            open_requests=settings.max_open or default.open_requests,
            runner_streams=settings.streams_per_connection,
            connect_timeout_us=settings.connect_timeout_us or default.connect_timeout_us,
            runner_idle_us=int(IDLE_MARGIN * settings.idle_close_us) or default.runner_idle_us,
            order_timeout_us=settings.order_timeout_us or default.order_timeout_us,
        )
