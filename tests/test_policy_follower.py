"""Tests of a router's policy state machine, without I/O: which epoch it applies, and when it takes calls."""

from maplestile.control.policy.follower import (
    NO_EPOCH,
    Follower,
    FollowerTimeouts,
    PolicyAnnouncement,
    PolicyStatus,
    Step,
)

SECOND_US = 1_000_000


def new_follower(epoch: int = 3) -> Follower:
    """Return the follower of a router that starts at 100 s with this epoch on disk."""
    return Follower(
        FollowerTimeouts(stale_us=5 * SECOND_US, wait_us=10 * SECOND_US, pause_us=2 * SECOND_US),
        epoch,
        100 * SECOND_US,
    )


def tick_until(router: Follower, until_us: int) -> None:
    """Advance the time with a tick each second."""
    while router.last_tick_us < until_us:
        router.tick(min(until_us, router.last_tick_us + SECOND_US))


def test_starting_router_takes_no_calls_until_announcement_from_after_start() -> None:
    router = new_follower()
    assert not router.accepts_calls(101 * SECOND_US)
    # The read behind this announcement was requested before the router's start.
    assert router.take_announcement(PolicyAnnouncement(3, 99 * SECOND_US), 101 * SECOND_US) is Step.NOTHING
    assert not router.accepts_calls(101 * SECOND_US)
    assert router.take_announcement(PolicyAnnouncement(5, 101 * SECOND_US), 102 * SECOND_US) is Step.FETCH
    announcement = PolicyAnnouncement(5, 101 * SECOND_US, has_document=True)
    assert router.take_announcement(announcement, 102 * SECOND_US) is Step.ADOPT
    router.adopted(announcement, 102 * SECOND_US)
    assert router.accepts_calls(102 * SECOND_US) and (router.epoch, router.status) == (
        5,
        PolicyStatus.CURRENT,
    )
    # A router never returns to an older epoch.
    assert (
        router.take_announcement(PolicyAnnouncement(4, 103 * SECOND_US, has_document=True), 103 * SECOND_US)
        is Step.OLDER
    )
    assert router.epoch == 5


def test_router_that_starts_cut_off_takes_calls_after_wait_only_with_stored_epoch() -> None:
    for epoch, serves in ((3, True), (0, True), (NO_EPOCH, False)):
        router = new_follower(epoch)
        tick_until(router, 109 * SECOND_US)
        assert not router.accepts_calls(109 * SECOND_US)
        tick_until(router, 111 * SECOND_US)
        assert router.accepts_calls(111 * SECOND_US) is serves
        assert (router.status is PolicyStatus.STALE) is serves
    first = new_follower(NO_EPOCH)
    assert (
        first.take_announcement(PolicyAnnouncement(0, 101 * SECOND_US, has_document=True), 101 * SECOND_US)
        is Step.ADOPT
    )


def test_cut_off_router_keeps_last_epoch_and_reports_for_how_long() -> None:
    router = new_follower()
    router.take_announcement(PolicyAnnouncement(3, 101 * SECOND_US), 101 * SECOND_US)
    tick_until(router, 106 * SECOND_US)
    assert router.stale_us(106 * SECOND_US) == 0
    tick_until(router, 108 * SECOND_US)
    assert router.accepts_calls(108 * SECOND_US) and router.stale_us(108 * SECOND_US) == 7 * SECOND_US
    # A late announcement does not confirm the epoch: a later one may have been committed since.
    router.take_announcement(PolicyAnnouncement(3, 102 * SECOND_US), 108 * SECOND_US)
    assert router.stale_us(108 * SECOND_US) == 7 * SECOND_US
    announcement = PolicyAnnouncement(4, 108 * SECOND_US, has_document=True)
    assert router.take_announcement(announcement, 109 * SECOND_US) is Step.ADOPT
    router.adopted(announcement, 109 * SECOND_US)
    assert router.status is PolicyStatus.CURRENT and router.stale_us(109 * SECOND_US) == 0


def test_paused_router_takes_no_calls_until_announcement_from_after_pause() -> None:
    router = new_follower()
    router.take_announcement(PolicyAnnouncement(3, 101 * SECOND_US), 101 * SECOND_US)
    assert not router.accepts_calls(104 * SECOND_US) and router.status is PolicyStatus.WAITING
    # This announcement waited in the socket during the pause.
    assert router.take_announcement(PolicyAnnouncement(3, 103 * SECOND_US), 104 * SECOND_US) is Step.NOTHING
    assert not router.accepts_calls(104 * SECOND_US)
    router.take_announcement(PolicyAnnouncement(3, 105 * SECOND_US), 105 * SECOND_US)
    assert router.accepts_calls(105 * SECOND_US)


def test_router_that_refuses_committed_epoch_takes_no_calls_until_one_fits() -> None:
    router = new_follower()
    router.take_announcement(PolicyAnnouncement(3, 101 * SECOND_US), 101 * SECOND_US)
    announcement = PolicyAnnouncement(4, 102 * SECOND_US, has_document=True)
    assert router.take_announcement(announcement, 102 * SECOND_US) is Step.ADOPT
    router.refused("rules.new: is not known here")
    assert not router.accepts_calls(102 * SECOND_US) and router.epoch == 3
    router.take_announcement(PolicyAnnouncement(3, 103 * SECOND_US), 103 * SECOND_US)
    assert not router.accepts_calls(103 * SECOND_US)
    announcement = PolicyAnnouncement(5, 103 * SECOND_US, has_document=True)
    router.take_announcement(announcement, 104 * SECOND_US)
    router.adopted(announcement, 104 * SECOND_US)
    assert router.accepts_calls(104 * SECOND_US) and router.reason == ""


def test_keeps_prepared_change_until_it_is_decided() -> None:
    router = new_follower()
    router.prepare(7, None)
    router.take_announcement(PolicyAnnouncement(3, 101 * SECOND_US, checking=7), 101 * SECOND_US)
    assert router.prepared is not None
    router.take_announcement(PolicyAnnouncement(3, 102 * SECOND_US, checking=0), 102 * SECOND_US)
    assert router.prepared is None
