"""Tests of the limits of a router: their defaults, and their values under several settings."""

from dataclasses import asdict, replace

import pytest

from maplestile.router.clock import POLL_S
from maplestile.wire.limits import Limits
from maplestile.wire.settings import settings_from
from tests.standins import params

TEST_SETTINGS = settings_from(params())
SETTINGS_WITHOUT_LIMITS = replace(
    TEST_SETTINGS, max_open=0, connect_timeout_us=0, idle_close_us=0, load_timeout_us=0
)
SETTINGS_WITH_LIMITS = replace(
    TEST_SETTINGS,
    max_open=77,
    streams_per_connection=5,
    connect_timeout_us=90_000,
    idle_close_us=4_000_001,
    load_timeout_us=3_000_000,
)
SINGLE_PROCESS_LIMITS = {
    "bare": Limits.from_settings(SETTINGS_WITHOUT_LIMITS, 1024, 192),
    "full": Limits.from_settings(SETTINGS_WITH_LIMITS, 256, 64),
    "stand-in": Limits.from_settings(TEST_SETTINGS, 384, 80.5),
    "tiny": Limits.from_settings(SETTINGS_WITHOUT_LIMITS, 64, 20),
}
EXIT_US = 100_000  # time for the interpreter to exit, which takes 10 to 40 ms if a CPU is free
DEFAULTS = {
    "clients.connections": 512,
    "clients.streams": 32,
    "clients.message_us": 1_500_000,
    "clients.first_request_us": 200_000,
    "clients.silent_us": 1_000_000,
    "clients.unfinished_eviction_us": 750_000,
    "clients.surplus_connections": 16,
    "clients.bad_messages": 64,
    "clients.batch_messages": 16,
    "clients.unread_bytes": 4_194_304,
    "clients.all_unread_bytes": 16_777_216,
    "clients.close_us": 4_000_000,
    "clients.unread_eviction_us": 1_000_000,
    "clients.linger_us": 100_000,
    "clients.read_bytes": 16_384,
    "clients.incomplete_bytes": 16_777_216,
    "listeners.accept_burst": 16,
    "listeners.accept_queue": 1_024,
    "requests.open_requests": 20_000,
    "requests.open_bytes": 67_108_864,
    "requests.max_lag_us": 60_000,
    "requests.max_retry_after_us": 1_000_000,
    "requests.functions": 30_000,
    "requests.recent_ids": 65_536,
    "messages.max_budget_us": 600_000_000,
    "messages.body_bytes": 16_384,
    "messages.head_bytes": 1_024,
    "messages.message_bytes": 32_768,
    "invoke.request_us": 10_000_000,
    "invoke.linger_us": 1_000_000,
    "operators.connections": 16,
    "operators.request_us": 2_000_000,
    "operators.body_bytes": 1_024,
    "operators.policy_bytes": 18_432,
    "operators.linger_us": 200_000,
    "operators.known_runners": 20_000,
    "runners.connections": 480,
    "runners.streams": 32,
    "runners.queued_messages": 4_096,
    "runners.min_learned_idle_us": 50_000,
    "runners.learned_idle_recovery_us": 5_000_000,
    "runners.line_bytes": 310_762,
    "runners.incomplete_bytes": 16_777_216,
    "runners.line_pause_us": 250_000,
    "runners.silent_us": 500_000,
    "runners.stall_us": 100_000,
    "runners.connect_timeout_us": 250_000,
    "runners.idle_timeout_us": 12_000_000,
    "runners.read_bytes": 32_768,
    "control_requests.load_timeout_us": 10_000_000,
    "control_requests.health_check_timeout_us": 250_000,
    "names.poll_us": 250_000,
    "names.timeout_us": 150_000,
    "names.read_bytes": 16_384,
    "names.complete_us": 600_000,
    "names.restart_us": 12_000_000,
    "names.restart_replies": 20,
    "names.start_wait_us": 3_500_000,
    "handover.poll_us": 100_000,
    "handover.idle_us": 20_000,
    "handover.idle_wait_us": 1_000_000,
    "handover.spare_us": 250_000,
    "handover.min_budget_us": 250_000,
    "handover.linger_us": 100_000,
    "shutdown.min_drain_us": 900_000,
    "shutdown.drain_patience_us": 1_000_000,
    "shutdown.collect_us": 2_500_000,
    "shutdown.kill_spare_us": 700_000,
    "shutdown.kill_deadline_us": 3_000_000,
    "process.descriptors": 1_024,
    "process.memory_mb": 192,
}
# Differences from the defaults for one process alone, and for each of 2, 3 and 4 processes.
TINY: dict[str, float] = {
    "clients.connections": 1,
    "clients.unread_bytes": 1_048_576,
    "clients.all_unread_bytes": 524_288,
    "clients.incomplete_bytes": 524_288,
    "requests.open_bytes": 1_398_101,
    "requests.functions": 559,
    "requests.recent_ids": 4_096,
    "runners.connections": 1,
    "runners.incomplete_bytes": 1_243_048,
    "process.descriptors": 64,
    "process.memory_mb": 20,
}
CHANGES: dict[str, list[dict[str, float]]] = {
    "bare": [
        {
            "clients.connections": 496,
            "requests.open_bytes": 59_069_781,
            "requests.functions": 23_627,
            "runners.connections": 448,
        },
        {
            "clients.connections": 240,
            "clients.all_unread_bytes": 9_699_328,
            "clients.incomplete_bytes": 9_699_328,
            "requests.open_bytes": 25_864_874,
            "requests.functions": 10_345,
            "runners.connections": 192,
        },
        {
            "clients.connections": 155,
            "clients.unread_bytes": 2_818_048,
            "clients.all_unread_bytes": 5_636_096,
            "clients.incomplete_bytes": 5_636_096,
            "requests.open_bytes": 15_029_589,
            "requests.functions": 6_011,
            "requests.recent_ids": 32_768,
            "runners.connections": 106,
            "runners.incomplete_bytes": 11_272_192,
        },
        {
            "clients.connections": 112,
            "clients.unread_bytes": 1_769_472,
            "clients.all_unread_bytes": 3_538_944,
            "clients.incomplete_bytes": 3_538_944,
            "requests.open_bytes": 9_437_184,
            "requests.functions": 3_774,
            "requests.recent_ids": 16_384,
            "runners.connections": 64,
            "runners.incomplete_bytes": 7_077_888,
        },
    ],
    "full": [
        {
            "clients.connections": 112,
            "clients.unread_bytes": 2_818_048,
            "clients.all_unread_bytes": 5_636_096,
            "clients.incomplete_bytes": 5_636_096,
            "requests.open_requests": 77,
            "requests.open_bytes": 15_029_589,
            "requests.functions": 6_011,
            "requests.recent_ids": 32_768,
            "runners.connections": 64,
            "runners.streams": 5,
            "runners.incomplete_bytes": 11_272_192,
            "runners.connect_timeout_us": 90_000,
            "runners.idle_timeout_us": 3_200_000,
            "control_requests.load_timeout_us": 3_000_000,
            "process.descriptors": 256,
            "process.memory_mb": 64,
        },
        {
            "clients.connections": 47,
            "clients.unread_bytes": 1_048_576,
            "clients.all_unread_bytes": 1_441_792,
            "clients.incomplete_bytes": 1_441_792,
            "requests.open_requests": 77,
            "requests.open_bytes": 3_844_778,
            "requests.functions": 1_537,
            "requests.recent_ids": 8_192,
            "runners.connections": 1,
            "runners.streams": 5,
            "runners.incomplete_bytes": 2_883_584,
            "runners.connect_timeout_us": 90_000,
            "runners.idle_timeout_us": 3_200_000,
            "control_requests.load_timeout_us": 3_000_000,
            "process.descriptors": 256,
            "process.memory_mb": 64,
        },
        {
            "clients.connections": 4,
            "clients.unread_bytes": 1_048_576,
            "clients.all_unread_bytes": 524_288,
            "clients.incomplete_bytes": 524_288,
            "requests.open_requests": 77,
            "requests.open_bytes": 1_398_101,
            "requests.functions": 559,
            "requests.recent_ids": 4_096,
            "runners.connections": 1,
            "runners.streams": 5,
            "runners.incomplete_bytes": 1_243_048,
            "runners.connect_timeout_us": 90_000,
            "runners.idle_timeout_us": 3_200_000,
            "control_requests.load_timeout_us": 3_000_000,
            "process.descriptors": 256,
            "process.memory_mb": 64,
        },
        {
            "clients.connections": 1,
            "clients.unread_bytes": 1_048_576,
            "clients.all_unread_bytes": 524_288,
            "clients.incomplete_bytes": 524_288,
            "requests.open_requests": 77,
            "requests.open_bytes": 1_398_101,
            "requests.functions": 559,
            "requests.recent_ids": 4_096,
            "runners.connections": 1,
            "runners.streams": 5,
            "runners.incomplete_bytes": 1_243_048,
            "runners.connect_timeout_us": 90_000,
            "runners.idle_timeout_us": 3_200_000,
            "control_requests.load_timeout_us": 3_000_000,
            "process.descriptors": 256,
            "process.memory_mb": 64,
        },
    ],
    "stand-in": [
        {
            "clients.connections": 176,
            "clients.unread_bytes": 3_866_624,
            "clients.all_unread_bytes": 7_733_248,
            "clients.incomplete_bytes": 7_733_248,
            "requests.open_bytes": 20_621_994,
            "requests.functions": 8_248,
            "requests.recent_ids": 32_768,
            "runners.connections": 128,
            "runners.incomplete_bytes": 15_466_496,
            "runners.connect_timeout_us": 2_000_000,
            "control_requests.load_timeout_us": 9_000_000,
            "process.descriptors": 384,
            "process.memory_mb": 80.5,
        },
        {
            "clients.connections": 80,
            "clients.unread_bytes": 1_245_184,
            "clients.all_unread_bytes": 2_490_368,
            "clients.incomplete_bytes": 2_490_368,
            "requests.open_bytes": 6_640_981,
            "requests.functions": 2_656,
            "requests.recent_ids": 16_384,
            "runners.connections": 32,
            "runners.incomplete_bytes": 4_980_736,
            "runners.connect_timeout_us": 2_000_000,
            "control_requests.load_timeout_us": 9_000_000,
            "process.descriptors": 384,
            "process.memory_mb": 80.5,
        },
        {
            "clients.connections": 47,
            "clients.unread_bytes": 1_048_576,
            "clients.all_unread_bytes": 786_432,
            "clients.read_bytes": 10_240,
            "clients.incomplete_bytes": 786_432,
            "requests.open_bytes": 2_097_152,
            "requests.functions": 838,
            "requests.recent_ids": 4_096,
            "runners.connections": 1,
            "runners.incomplete_bytes": 1_572_864,
            "runners.connect_timeout_us": 2_000_000,
            "control_requests.load_timeout_us": 9_000_000,
            "process.descriptors": 384,
            "process.memory_mb": 80.5,
        },
        {
            "clients.connections": 15,
            "clients.unread_bytes": 1_048_576,
            "clients.all_unread_bytes": 524_288,
            "clients.incomplete_bytes": 524_288,
            "requests.open_bytes": 1_398_101,
            "requests.functions": 559,
            "requests.recent_ids": 4_096,
            "runners.connections": 1,
            "runners.incomplete_bytes": 1_243_048,
            "runners.connect_timeout_us": 2_000_000,
            "control_requests.load_timeout_us": 9_000_000,
            "process.descriptors": 384,
            "process.memory_mb": 80.5,
        },
    ],
    "tiny": 4 * [TINY],
}


def test_process_has_time_to_exit_between_its_last_answers_and_sigkill() -> None:
    """Open requests are answered `spare_us` before SIGKILL; then connections close and the process exits."""
    handover = Limits().handover
    closing_us = handover.linger_us + 2 * POLL_S * 1e6
    assert handover.spare_us - closing_us >= EXIT_US


def flat_values(limits: Limits) -> dict[str, float]:
    """Return each value by the names of its group and its field."""
    return {
        f"{group}.{name}": value for group, values in asdict(limits).items() for name, value in values.items()
    }


def test_default_limits() -> None:
    assert flat_values(Limits()) == DEFAULTS


@pytest.mark.parametrize("process_count", [1, 2, 3, 4])
@pytest.mark.parametrize("name", CHANGES)
def test_limits_of_each_process_that_shares(name: str, process_count: int) -> None:
    limits = SINGLE_PROCESS_LIMITS[name].divided_among(process_count)
    assert flat_values(limits) == DEFAULTS | CHANGES[name][process_count - 1]
    # `divided_among` starts from the limits of the process, so sharing is never applied twice.
    assert limits.divided_among(1) == SINGLE_PROCESS_LIMITS[name]


@pytest.mark.parametrize("name", CHANGES)
def test_limits_from_settings_are_those_of_a_single_process(name: str) -> None:
    assert flat_values(SINGLE_PROCESS_LIMITS[name]) == DEFAULTS | CHANGES[name][0]


@pytest.mark.parametrize(
    ("longest_us", "kill_after_us"),
    [(0, 700_000), (1_000_000, 1_700_000), (3_000_000, 3_700_000), (9_000_000, 3_700_000)],
)
def test_time_from_sigterm_to_sigkill(longest_us: int, kill_after_us: int) -> None:
    assert Limits().kill_after_us(longest_us) == kill_after_us
