"""The dispatcher settings that the explorer and the benchmarks share.

All optional behavior is enabled, and the number of load requests is not limited. The explorer and each
benchmark replace the settings that depend on their workers and calls.
"""

from maplestile.dispatch import api

US_PER_MS = 1_000
US_PER_S = 1_000_000

BASE_SETTINGS = api.Settings(
    classes=(),
    router_count=1,
    zone="",
    tick_us=4 * US_PER_MS,
    must_poll_list=False,
    may_request_loads=True,
    loads_on_miss=True,
    keep_alive_us=10 * US_PER_S,
    kind_memory_mb=(),
    load_timeout_us=10 * US_PER_S,
    load_request_window_us=0,
    load_requests_free=0,
    load_requests_per_call=0,
    max_attempts=4,
    may_cancel=True,
    may_hedge=True,
    may_probe=True,
    answer_slack_us=16 * US_PER_MS,
    drain_grace_us=2 * US_PER_S,
    slow_start_share=0.2,
    slow_start_us=15 * US_PER_S,
    overload_multiple=2.0,
    overload_window_us=2 * US_PER_S,
)
