"""Define the variants of dispatcher settings with which the generated traces run."""

from dataclasses import replace

from maplestile.dispatch import api

MS = 1_000  # microseconds in a millisecond

CLASSES = (
    api.CallClass("read", 600 * MS, 4_000 * MS, api.Idempotency.IDEMPOTENT, api.DeduplicationScope.ALL, 0),
    api.CallClass(
        "late", 900 * MS, 4_000 * MS, api.Idempotency.IDEMPOTENT, api.DeduplicationScope.ALL, 0, 0.5
    ),
    api.CallClass(
        "write-all", 1_000 * MS, 4_000 * MS, api.Idempotency.WITH_KEY, api.DeduplicationScope.ALL, 3_000 * MS
    ),
    api.CallClass(
        "write-zone",
        1_000 * MS,
        4_000 * MS,
        api.Idempotency.WITH_KEY,
        api.DeduplicationScope.ZONE,
        2_000 * MS,
    ),
    api.CallClass(
        "write-cell",
        1_000 * MS,
        4_000 * MS,
        api.Idempotency.WITH_KEY,
        api.DeduplicationScope.CELL,
        2_000 * MS,
    ),
    api.CallClass(
        "pay", 1_000 * MS, 4_000 * MS, api.Idempotency.NOT_IDEMPOTENT, api.DeduplicationScope.ALL, 0
    ),
)
BASE_SETTINGS = api.Settings(
    classes=CLASSES,
    router_count=8,
    zone="zone-0",
    tick_us=2 * MS,
    must_poll_list=False,
    may_request_loads=True,
    loads_on_miss=True,
    keep_alive_us=6_000 * MS,
    kind_memory_mb=(("large", 3_000.0), ("small", 1_500.0)),
    load_timeout_us=5_000 * MS,
    load_request_window_us=10_000 * MS,
    load_requests_free=10.0,
    load_requests_per_call=0.3,
    max_attempts=4,
    may_cancel=True,
    may_hedge=True,
    may_probe=True,
    answer_slack_us=16 * MS,
    drain_grace_us=250 * MS,
    slow_start_share=0.2,
    slow_start_us=8_000 * MS,
    overload_multiple=2.0,
    overload_window_us=2_000 * MS,
)
VARIANTS = {
    "duplicating": BASE_SETTINGS,
    "ordering": replace(
        BASE_SETTINGS,
        router_count=1,
        must_poll_list=True,
        loads_on_miss=False,
        load_request_window_us=4_000 * MS,
        load_requests_free=10.0,
        load_requests_per_call=0.2,
        may_hedge=False,
    ),
    "plain": replace(
        BASE_SETTINGS,
        router_count=2,
        zone="",
        keep_alive_us=0,
        kind_memory_mb=(("large", 300.0), ("small", 150.0)),
        may_request_loads=False,
        may_cancel=False,
        may_probe=False,
        max_attempts=3,
    ),
}
