"""A router's part in the fleet's policy without I/O: which epoch it decides by, and whether it serves."""

from maplestile.control.policy.follower import (
    NO_EPOCH,
    Follower,
    FollowerTimeouts,
    PolicyAnnouncement,
    PolicyStatus,
    Step,
)

S = 1_000_000  # microseconds


def new_follower(epoch: int = 3) -> Follower:
    """A router that starts at 100 s with this epoch on record."""
    return Follower(FollowerTimeouts(stale_us=5 * S, wait_us=10 * S, pause_us=2 * S), epoch, 100 * S)


def tick_until(router: Follower, until_us: int) -> None:
    """Let time pass, with a tick each second."""
    while router.last_tick_us < until_us:
        router.tick(min(until_us, router.last_tick_us + S))


def test_a_router_that_starts_takes_no_calls_until_it_knows_what_was_committed_since() -> None:
    router = new_follower()
    assert not router.admits(101 * S)
    assert (
        router.take_announcement(PolicyAnnouncement(3, 99 * S), 101 * S) is Step.NOTHING
    )  # a read from before its start
    assert not router.admits(101 * S)
    assert router.take_announcement(PolicyAnnouncement(5, 101 * S), 102 * S) is Step.FETCH
    announcement = PolicyAnnouncement(5, 101 * S, has_document=True)
    assert router.take_announcement(announcement, 102 * S) is Step.ADOPT
    router.adopted(announcement, 102 * S)
    assert router.admits(102 * S) and (router.epoch, router.status) == (5, PolicyStatus.CURRENT)
    assert (
        router.take_announcement(PolicyAnnouncement(4, 103 * S, has_document=True), 103 * S) is Step.OLDER
    )  # it never goes back
    assert router.epoch == 5


def test_a_router_that_starts_cut_off_serves_by_its_record_after_a_while_and_never_without_one() -> None:
    for epoch, serves in ((3, True), (0, True), (NO_EPOCH, False)):
        router = new_follower(epoch)
        tick_until(router, 109 * S)
        assert not router.admits(109 * S)
        tick_until(router, 111 * S)
        assert router.admits(111 * S) is serves
        assert (router.status is PolicyStatus.STALE) is serves
    first = new_follower(NO_EPOCH)
    assert first.take_announcement(PolicyAnnouncement(0, 101 * S, has_document=True), 101 * S) is Step.ADOPT


def test_a_router_that_is_cut_off_serves_by_the_last_epoch_and_reports_since_when() -> None:
    router = new_follower()
    router.take_announcement(PolicyAnnouncement(3, 101 * S), 101 * S)
    tick_until(router, 106 * S)
    assert router.stale_us(106 * S) == 0
    tick_until(router, 108 * S)
    assert router.admits(108 * S) and router.stale_us(108 * S) == 7 * S
    # it came late: what was committed lately is not known
    router.take_announcement(PolicyAnnouncement(3, 102 * S), 108 * S)
    assert router.stale_us(108 * S) == 7 * S
    announcement = PolicyAnnouncement(4, 108 * S, has_document=True)
    assert router.take_announcement(announcement, 109 * S) is Step.ADOPT
    router.adopted(announcement, 109 * S)
    assert router.status is PolicyStatus.CURRENT and router.stale_us(109 * S) == 0


def test_a_router_that_was_paused_waits_for_an_announcement_from_after_the_pause() -> None:
    router = new_follower()
    router.take_announcement(PolicyAnnouncement(3, 101 * S), 101 * S)
    assert not router.admits(104 * S) and router.status is PolicyStatus.WAITING
    assert (
        router.take_announcement(PolicyAnnouncement(3, 103 * S), 104 * S) is Step.NOTHING
    )  # it lay in the socket meanwhile
    assert not router.admits(104 * S)
    router.take_announcement(PolicyAnnouncement(3, 105 * S), 105 * S)
    assert router.admits(105 * S)


def test_a_router_that_refuses_a_committed_epoch_takes_no_calls_until_another_one_fits() -> None:
    router = new_follower()
    router.take_announcement(PolicyAnnouncement(3, 101 * S), 101 * S)
    announcement = PolicyAnnouncement(4, 102 * S, has_document=True)
    assert router.take_announcement(announcement, 102 * S) is Step.ADOPT
    router.refused("rules.new: is not known here")
    assert not router.admits(102 * S) and router.epoch == 3
    router.take_announcement(PolicyAnnouncement(3, 103 * S), 103 * S)
    assert not router.admits(103 * S)
    announcement = PolicyAnnouncement(5, 103 * S, has_document=True)
    router.take_announcement(announcement, 104 * S)
    router.adopted(announcement, 104 * S)
    assert router.admits(104 * S) and router.reason == ""


def test_a_prepared_change_is_kept_until_it_is_decided() -> None:
    router = new_follower()
    router.prepare(7, None)
    router.take_announcement(PolicyAnnouncement(3, 101 * S, checking=7), 101 * S)
    assert router.prepared is not None
    router.take_announcement(PolicyAnnouncement(3, 102 * S, checking=0), 102 * S)
    assert router.prepared is None
