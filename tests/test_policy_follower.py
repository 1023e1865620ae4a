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


def follower(epoch: int = 3) -> Follower:
    return Follower(FollowerTimeouts(stale_us=5 * S, wait_us=10 * S, pause_us=2 * S), epoch, 100 * S)


def on(one: Follower, until_us: int) -> None:
    """Time passes, with a tick each second."""
    while one.ticked_us < until_us:
        one.tick(min(until_us, one.ticked_us + S))


def test_one_that_starts_takes_no_calls_until_it_hears_what_was_committed_since() -> None:
    one = follower()
    assert not one.admits(101 * S)
    assert (
        one.take_announcement(PolicyAnnouncement(3, 99 * S), 101 * S) is Step.NOTHING
    )  # a read from before its start
    assert not one.admits(101 * S)
    assert one.take_announcement(PolicyAnnouncement(5, 101 * S), 102 * S) is Step.FETCH
    announcement = PolicyAnnouncement(5, 101 * S, has_document=True)
    assert one.take_announcement(announcement, 102 * S) is Step.ADOPT
    one.adopted(announcement, 102 * S)
    assert one.admits(102 * S) and (one.epoch, one.status) == (5, PolicyStatus.CURRENT)
    assert (
        one.take_announcement(PolicyAnnouncement(4, 103 * S, has_document=True), 103 * S) is Step.OLDER
    )  # it never goes back
    assert one.epoch == 5


def test_one_that_starts_cut_off_serves_by_its_record_after_a_while_and_never_without_one() -> None:
    for epoch, serves in ((3, True), (0, True), (NO_EPOCH, False)):
        one = follower(epoch)
        on(one, 109 * S)
        assert not one.admits(109 * S)
        on(one, 111 * S)
        assert one.admits(111 * S) is serves
        assert (one.status is PolicyStatus.STALE) is serves
    first = follower(NO_EPOCH)
    assert first.take_announcement(PolicyAnnouncement(0, 101 * S, has_document=True), 101 * S) is Step.ADOPT


def test_one_that_is_cut_off_serves_by_the_last_epoch_and_says_since_when() -> None:
    one = follower()
    one.take_announcement(PolicyAnnouncement(3, 101 * S), 101 * S)
    on(one, 106 * S)
    assert one.stale_us(106 * S) == 0
    on(one, 108 * S)
    assert one.admits(108 * S) and one.stale_us(108 * S) == 7 * S
    one.take_announcement(
        PolicyAnnouncement(3, 102 * S), 108 * S
    )  # it came late: what was committed lately is not known
    assert one.stale_us(108 * S) == 7 * S
    announcement = PolicyAnnouncement(4, 108 * S, has_document=True)
    assert one.take_announcement(announcement, 109 * S) is Step.ADOPT
    one.adopted(announcement, 109 * S)
    assert one.status is PolicyStatus.CURRENT and one.stale_us(109 * S) == 0


def test_one_that_stood_still_waits_for_an_announcement_from_after_that() -> None:
    one = follower()
    one.take_announcement(PolicyAnnouncement(3, 101 * S), 101 * S)
    assert not one.admits(104 * S) and one.status is PolicyStatus.WAITING
    assert (
        one.take_announcement(PolicyAnnouncement(3, 103 * S), 104 * S) is Step.NOTHING
    )  # it lay in the socket meanwhile
    assert not one.admits(104 * S)
    one.take_announcement(PolicyAnnouncement(3, 105 * S), 105 * S)
    assert one.admits(105 * S)


def test_one_that_refuses_what_is_committed_takes_no_calls_until_an_epoch_fits() -> None:
    one = follower()
    one.take_announcement(PolicyAnnouncement(3, 101 * S), 101 * S)
    announcement = PolicyAnnouncement(4, 102 * S, has_document=True)
    assert one.take_announcement(announcement, 102 * S) is Step.ADOPT
    one.refused("rules.new: is not known here")
    assert not one.admits(102 * S) and one.epoch == 3
    one.take_announcement(PolicyAnnouncement(3, 103 * S), 103 * S)
    assert not one.admits(103 * S)
    announcement = PolicyAnnouncement(5, 103 * S, has_document=True)
    one.take_announcement(announcement, 104 * S)
    one.adopted(announcement, 104 * S)
    assert one.admits(104 * S) and one.reason == ""


def test_a_promise_holds_until_the_change_is_decided() -> None:
    one = follower()
    one.prepare(7, None)
    one.take_announcement(PolicyAnnouncement(3, 101 * S, checking=7), 101 * S)
    assert one.prepared is not None
    one.take_announcement(PolicyAnnouncement(3, 102 * S, checking=0), 102 * S)
    assert one.prepared is None
