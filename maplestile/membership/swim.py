"""SWIM membership with the Lifeguard refinements, as a state machine without I/O on a virtual clock.

Sources: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol" (DSN 2002); Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More
Accurate Failure Detection" (2018). The driver feeds it datagrams (`receive`) and the time (`tick`), sends
what `outbox` holds and logs what `events` holds. Times are microseconds of a monotonic clock; names are
members' ids; an address is a (host, port) pair.
"""

import hashlib
import heapq
import random
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from maplestile.common.address import Address
from maplestile.membership.health_checks import SharedHealthChecks
from maplestile.membership.messages import Entry, Message
from maplestile.membership.tuning import Tuning


class Status(Enum):
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


# Which of two rumours of the same incarnation wins: dead over suspect over alive (SWIM, 4.2).
RANK = {Status.ALIVE: 0, Status.SUSPECT: 1, Status.DEAD: 2, Status.LEFT: 2}
IN_VIEW = (Status.ALIVE, Status.SUSPECT)


@dataclass(slots=True)
class Member:
    name: str
    address: Address
    incarnation: int
    status: Status
    since_us: int
    suspecters: set[str] = field(default_factory=set)  # who told of a suspicion of this incarnation
    told_dead: bool = False  # another has declared this incarnation dead while it is suspected here


@dataclass(slots=True)
class Probe:
    seq: int
    target: str
    ack_due_us: int
    acked: bool = False
    asked: bool = False  # whether helpers were asked, if there were any
    helpers: list[str] = field(default_factory=list)
    nacks: int = 0


@dataclass(slots=True)
class Relay:
    """A ping sent for another member's indirect probe."""

    asker: Address
    asker_seq: int
    nack_due_us: int
    done_us: int


@dataclass(slots=True)
class Rumour:
    entry: Entry
    sent: int = 0


class Swim:
    """One member's view of the group.

    `outbox` holds (address, message) pairs to send, `events` (kind, fields) pairs to log; the driver empties
    both after each call. Raises nothing on what peers send: a message of no use is counted in `faults`."""

    def __init__(
        self,
        name: str,
        address: Address,
        tuning: Tuning,
        seed: int,
        now_us: int,
        watch: SharedHealthChecks | None = None,
    ) -> None:
        self.name, self.address, self.tuning, self.watch = name, address, tuning, watch
        self.random = random.Random(seed)
        self.incarnation = 0
        self.members: dict[str, Member] = {name: Member(name, address, 0, Status.ALIVE, now_us)}
        self.rumours: dict[str, Rumour] = {}
        self.outbox: list[tuple[Address, Message]] = []
        self.events: list[tuple[str, dict[str, object]]] = []
        self.faults: dict[str, int] = {}
        self.health = 0  # Lifeguard's local health multiplier: 0 is well
        self.seq = 0
        self.probe: Probe | None = None
        self.relays: dict[int, Relay] = {}
        self.order: list[str] = []  # the round of probe targets, shuffled anew each time it is used up
        self.next_probe_us = now_us + self.random.randrange(tuning.period_us)  # members do not probe in step
        self.next_reconnect_us = now_us + tuning.period_us * tuning.reconnect_periods
        self.next_stranger_us = now_us  # the next moment a sender not known here may be asked for its state
        self.seeds: list[Address] = []
        self.leaving = False
        # The last view without a suspicion: a member that sees less than a majority of it is cut off.
        self.agreed: frozenset[str] = frozenset((name,))
        self.isolated = False
        # In order of suspicion: a set whose order is the same in each run, whatever the hashes.
        self.suspected: dict[str, None] = {}
        self._live: list[str] | None = None  # what `live` tells, until the view changes
        self._judged: list[str] | None = None  # the view last judged for isolation
        self.stale = False  # whether the message at hand told an old suspicion of this member
        # What is kept of the view beside the members, so that two views can be compared by one number: the
        # exclusive or of a hash of each member's name, incarnation and whether it is in view.
        self.digest = 0
        self.marks: dict[str, int] = {}
        self._mark(self.members[name])
        self.next_word_us = now_us + self._word_us()
        self.next_exchange_us = now_us  # the next moment a backlog may be answered by an exchange
        self.next_differ_us = now_us  # the next moment a view that differs may be asked for
        self.doubts = 0  # members told in this period that others hold them dead

    # What the driver calls.

    def join(self, seeds: Iterable[Address], now_us: int) -> None:
        """Ask the seeds for their views; they are asked again while none is known."""
        self.seeds = [seed for seed in seeds if seed != self.address]
        self._spread(self._entry(self.members[self.name]))  # its own word, also to those the seeds miss
        for seed in self.seeds:
            self._push("join", seed)

    def leave(self, now_us: int) -> None:
        """Tell the group that this member goes: it is not suspected, and its duties move at once."""
        self.leaving = True
        self.incarnation += 1
        me = self.members[self.name]
        me.incarnation = self.incarnation
        self._set(me, Status.LEFT)
        self._spread(self._entry(me))
        for member in self._chosen(self.tuning.helpers, set()):
            self._send(member.address, Message("ping", self._next_seq(), self.name, member.name))

    def receive(self, message: Message, now_us: int) -> None:
        sender = self.members.get(message.source)
        # A full state, or word from a member held dead, may be old: of a split's other side, say. Deaths that
        # are news here are taken as suspicions, so that the members can refute.
        old = message.kind in ("join", "sync") or sender is None or sender.status not in IN_VIEW
        for entry in message.gossip:
            known = self.members.get(entry.name)
            if known is not None and known.incarnation == entry.incarnation:
                if known.status.value == entry.status and entry.status != "suspect":
                    continue  # the common case of a full state
                if old and entry.status == "suspect":
                    continue  # its own probes tell this member more
            if old and entry.status == "dead" and (known is None or entry.incarnation > known.incarnation):
                entry = replace(entry, status="suspect")
            self._update(entry, now_us)
        if self.watch is not None:
            for finding in message.findings:
                self.watch.take(finding)
        if self.stale and message.source != self.name:
            # The one that told an old suspicion of this member hears the refutation at once, first of all.
            self.stale = False
            refresh = Message("ping", self._next_seq(), self.name, message.source)
            self._send(message.reply_to, refresh, lead=self._entry(self.members[self.name]))
        match message.kind:
            case "ping":
                if message.target == self.name:
                    # What is suspected of the one that asks goes with the answer, so that it can refute.
                    told = Message("ack", message.seq, self.name)
                    self._send(message.reply_to, told, first=self.members.get(message.source))
            case "req":
                self._relay(message, now_us)
            case "ack":
                self._acked(message, now_us)
            case "nack":
                if self.probe is not None and message.seq == self.probe.seq:
                    self.probe.nacks += 1
            case "join":
                self._push("sync", message.reply_to)
            case "sync":
                self.seeds = []  # a view is known: the seeds are of no more use
        if message.kind in ("ping", "ack", "req", "nack") and message.source not in self.members:
            self._fault("unknown_sender")
            # A member whose word died out before it came here is asked for its state; once in a while
            # only, so that a stream of strangers gets no stream of full states.
            if now_us >= self.next_stranger_us:
                self.next_stranger_us = now_us + self.tuning.period_us * self.tuning.reconnect_periods
                self._push("join", message.reply_to)
        elif message.digest not in (None, self.digest) and now_us >= self.next_differ_us:
            self.next_differ_us = now_us + self.tuning.period_us * self.tuning.differ_periods
            self._push("join", message.reply_to)

    def tick(self, now_us: int) -> None:
        """Everything that is due by now."""
        probe = self.probe
        if probe is not None and not probe.acked and not probe.asked and now_us >= probe.ack_due_us:
            self._ask_helpers(probe)
        for seq, relay in list(self.relays.items()):
            if now_us >= relay.nack_due_us and relay.nack_due_us:
                self._send(relay.asker, Message("nack", relay.asker_seq, self.name))
                relay.nack_due_us = 0
            if now_us >= relay.done_us:
                del self.relays[seq]
        if now_us >= self.next_probe_us and not self.leaving:
            self._end_probe(now_us)
            self._begin_probe(now_us)
        self._suspicions(now_us)
        if now_us >= self.next_word_us:
            self._word(now_us)
        if now_us >= self.next_reconnect_us:
            self._reconnect(now_us)
        self._judge_isolation(now_us)

    def due_us(self) -> int:
        """The next moment `tick` has something to do."""
        due = [self.next_probe_us, self.next_reconnect_us, self.next_word_us]
        if self.probe is not None and not self.probe.acked and not self.probe.asked:
            due.append(self.probe.ack_due_us)
        for relay in self.relays.values():
            due.append(relay.nack_due_us or relay.done_us)
        for name in self.suspected:
            member = self.members[name]
            due.append(member.since_us + self._suspicion_us(member))
        return min(due)

    def view(self) -> list[Member]:
        return sorted(self.members.values(), key=lambda member: member.name)

    def live(self) -> list[str]:
        """Members that are not known to have ended, this one among them: those that share the duties."""
        if self._live is None:
            self._live = sorted(name for name, member in self.members.items() if member.status in IN_VIEW)
        return self._live

    def know(self, members: list[tuple[str, Address]]) -> None:
        """Take members as alive in incarnation 0 without spreading word of them: a group that stands."""
        for name, address in members:
            if name not in self.members:
                self.members[name] = Member(name, address, 0, Status.ALIVE, 0)
                self._mark(self.members[name])
                self._insert_target(name)
        self._live = None
        self.agreed = frozenset(self.live())

    def _set(self, member: Member, status: Status) -> None:
        """The one way a member's status changes, so that what is kept of the view follows."""
        member.status = status
        self._live = None
        self._mark(member)
        if status is Status.SUSPECT:
            self.suspected[member.name] = None
        else:
            self.suspected.pop(member.name, None)

    def _mark(self, member: Member | None, name: str = "") -> None:
        """Keep the digest: `member` stands otherwise now, or the one of that name is forgotten."""
        if member is not None:
            name = member.name
            told = f"{name}\x00{member.incarnation}\x00{member.status in IN_VIEW}".encode()
            mark = int.from_bytes(hashlib.blake2b(told, digest_size=8).digest(), "big")
        else:
            mark = 0
        self.digest ^= self.marks.get(name, 0) ^ mark
        self.marks[name] = mark

    # Probes.

    def _begin_probe(self, now_us: int) -> None:
        scale = self.health + 1
        self.next_probe_us = now_us + self.tuning.period_us * scale
        target = self._next_target()
        if target is None:
            self.probe = None
            return
        self.probe = Probe(self._next_seq(), target.name, now_us + self.tuning.ack_us * scale)
        self._send(target.address, Message("ping", self.probe.seq, self.name, target.name), first=target)

    def _end_probe(self, now_us: int) -> None:
        probe, self.probe = self.probe, None
        if probe is None:
            return
        if probe.acked:
            self._health(-1)
            return
        target = self.members.get(probe.target)
        if target is None or target.status is not Status.SUSPECT:
            # A probe that fails is a sign of this member's own slowness, unless its target is suspected
            # already: those of a split's other side taught every member that it was slow itself, up to nine
            # times, and so each of them probed and told of the healing nine times as seldom.
            self._health(+1)
            if probe.helpers and probe.nacks < len(probe.helpers):
                self._health(+1)  # Lifeguard: helpers that do not even say no point at this member itself
        # Lifeguard: a suspicion of one's own, beside those heard, is an independent confirmation.
        if target is not None and (target.status is Status.ALIVE or self.name not in target.suspecters):
            self._update(self._entry(target, Status.SUSPECT), now_us)

    def _ask_helpers(self, probe: Probe) -> None:
        probe.asked = True
        target = self.members.get(probe.target)
        if target is None:
            return
        helpers = self._chosen(self.tuning.helpers, {target.name})
        probe.helpers = [helper.name for helper in helpers]
        for helper in helpers:
            asked = Message("req", probe.seq, self.name, target.name, target_address=target.address)
            self._send(helper.address, asked, first=target)

    def _relay(self, message: Message, now_us: int) -> None:
        if message.target_address is None:
            self._fault("req_without_address")
            return
        seq, ack_us = self._next_seq(), self.tuning.ack_us * (self.health + 1)
        self.relays[seq] = Relay(message.reply_to, message.seq, now_us + ack_us * 4 // 5, now_us + ack_us * 2)
        if len(self.relays) > self.tuning.members_most:  # guards memory against a flood of requests
            del self.relays[min(self.relays)]
        target = self.members.get(message.target)
        self._send(message.target_address, Message("ping", seq, self.name, message.target), first=target)

    def _acked(self, message: Message, now_us: int) -> None:
        if (relay := self.relays.pop(message.seq, None)) is not None:
            self._send(relay.asker, Message("ack", relay.asker_seq, message.source))
        elif self.probe is not None and message.seq == self.probe.seq and message.source == self.probe.target:
            self.probe.acked = True

    def _next_target(self) -> Member | None:
        for _ in range(2):
            while self.order:
                member = self.members.get(self.order.pop())
                if member is not None and member.status in IN_VIEW and member.name != self.name:
                    return member
            self.order = [name for name in self.live() if name != self.name]
            self.random.shuffle(self.order)
        return None

    def _chosen(self, count: int, besides: set[str]) -> list[Member]:
        names = [name for name in self.live() if name != self.name and name not in besides]
        return [self.members[name] for name in self.random.sample(names, min(count, len(names)))]

    def _health(self, change: int) -> None:
        if not self.tuning.lifeguard:
            return
        self.health = min(self.tuning.health_most, max(0, self.health + change))

    # Suspicion, death and refutation.

    def _suspicion_us(self, member: Member) -> int:
        confirmed = self.tuning.confirmations if member.told_dead else max(0, len(member.suspecters) - 1)
        return self.tuning.suspicion_us(len(self.live()), confirmed)

    def _suspicions(self, now_us: int) -> None:
        for name in list(self.suspected):
            member = self.members[name]
            if now_us >= member.since_us + self._suspicion_us(member):
                self._update(self._entry(member, Status.DEAD), now_us)

    def _update(self, entry: Entry, now_us: int) -> None:
        """Take one rumour: it changes the view only if it is news, and news is passed on."""
        status = Status(entry.status)
        if entry.name == self.name:
            self._about_self(entry, status, now_us)
            return
        member = self.members.get(entry.name)
        if member is None:
            if status not in IN_VIEW or len(self.members) >= self.tuning.members_most:
                return  # of a member never known, only that it lives is of use
            member = Member(entry.name, entry.address, entry.incarnation, Status.ALIVE, now_us)
            self.members[entry.name] = member
            self._set(member, status)
            if status is Status.SUSPECT:
                member.suspecters.add(entry.by)
            self._insert_target(entry.name)
            self._event("join", member)
            self._spread(entry)
            return
        newer = entry.incarnation > member.incarnation
        same = entry.incarnation == member.incarnation
        if status is Status.SUSPECT and same and member.status is Status.SUSPECT:
            if entry.by not in member.suspecters:  # Lifeguard: an independent confirmation shortens the wait
                member.suspecters.add(entry.by)
                self._spread(entry)
            return
        if not (newer or same and RANK[status] > RANK[member.status]):
            return
        if status is Status.DEAD and entry.by != self.name:
            self._told_dead(member, entry, now_us)
            return
        before = member.status
        member.incarnation, member.since_us = entry.incarnation, now_us
        self._set(member, status)
        member.address, member.told_dead = entry.address, False
        member.suspecters = {entry.by} if status is Status.SUSPECT else set()
        self._spread(entry)
        if status is Status.ALIVE:
            self._event("refute" if before is Status.SUSPECT else "join", member)
            if before not in IN_VIEW:
                self._insert_target(member.name)
        elif status is Status.SUSPECT:
            self._event("suspect", member, by=entry.by)
        else:
            self._event("confirm" if status is Status.DEAD else "leave", member, by=entry.by)

    def _told_dead(self, member: Member, entry: Entry, now_us: int) -> None:
        """Another has declared `member` dead. It is believed as a whole set of confirmations: where a
        suspicion stands here, it now lasts the least time. A member that is well here is told instead, so
        that it can refute, and is probed next.

        Guards live members against what comes after a split: the other side has declared all of this side
        dead, and each of its members goes on saying so. Believed at once, that killed whole sides (7458
        false deaths in 1000 member-minutes among 100 members)."""
        if member.status is Status.SUSPECT:
            member.told_dead = True
            if entry.incarnation > member.incarnation:
                member.incarnation = entry.incarnation
                self._set(member, Status.SUSPECT)
        elif member.status is Status.ALIVE and self.doubts < self.tuning.doubts_per_period:
            self.doubts += 1
            self.order.append(member.name)
            self._send(member.address, Message("word", self._next_seq(), self.name), lead=entry)

    def _about_self(self, entry: Entry, status: Status, now_us: int) -> None:
        me = self.members[self.name]
        # Guards against one's own old word coming back by gossip: only this member changes its own state.
        if status is Status.ALIVE or self.leaving:
            return
        if entry.incarnation < self.incarnation:
            self.stale = True  # an old suspicion goes round where the refutation has not come
            return
        # Suspected or declared dead: say otherwise with a higher incarnation (SWIM, 4.2).
        self.incarnation = entry.incarnation + 1
        me.incarnation = self.incarnation
        self._set(me, Status.ALIVE)
        if status is Status.SUSPECT:
            self._health(+1)  # Lifeguard: being suspected is a sign of one's own slowness
        self._spread(self._entry(me))
        self.events.append(("refute", {"member": self.name, "incarnation": self.incarnation, "by": entry.by}))

    def _insert_target(self, name: str) -> None:
        self.order.insert(self.random.randrange(len(self.order) + 1), name)

    # Dissemination.

    def _spread(self, entry: Entry) -> None:
        self.rumours.pop(entry.name, None)  # the latest last
        self.rumours[entry.name] = Rumour(entry)
        if len(self.rumours) > self.tuning.rumours_most:  # the exchanges of a backlog carry the oldest
            del self.rumours[next(iter(self.rumours))]

    def _word_us(self) -> int:
        return int(self.tuning.period_us * self.tuning.word_periods)

    def _word(self, now_us: int) -> None:
        """Rumours to a few members at random where the probes are too slow to carry them; with a backlog a
        full exchange to one."""
        self.next_word_us = now_us + self._word_us()
        if now_us >= self.next_exchange_us:
            self.next_exchange_us, self.doubts = now_us + self.tuning.period_us, 0
            if len(self.rumours) > self.tuning.backlog:
                for member in self._chosen(1, set()):
                    self._push("join", member.address)
        # On an ordinary day the probes carry all rumours; these messages are for those that do not keep up.
        if self.rumours and (self.health or len(self.rumours) > self.tuning.gossip_per_message):
            for member in self._chosen(self.tuning.word_fanout, set()):
                self._send(member.address, Message("word", self._next_seq(), self.name))

    def _gossip(self, first: Member | None) -> list[Entry]:
        """The rumours sent least so far. To a member suspected here, the suspicion goes first, also once its
        rumour has been sent enough times: it is the one that can refute it (Lifeguard's buddy system)."""
        limit, most = self.tuning.retransmits(len(self.live())), self.tuning.gossip_per_message
        buddy = first is not None and first.status is Status.SUSPECT and self.tuning.lifeguard
        chosen = heapq.nsmallest(most - buddy, self.rumours.values(), key=lambda rumour: rumour.sent)
        for rumour in chosen:
            rumour.sent += 1
            if rumour.sent >= limit:
                del self.rumours[rumour.entry.name]
        told = [rumour.entry for rumour in chosen]
        return _leading(self._entry(first), told) if buddy and first is not None else told

    def _send(
        self, to: Address, message: Message, first: Member | None = None, lead: Entry | None = None
    ) -> None:
        if message.kind not in ("join", "sync"):
            message.gossip = self._gossip(first)
        if message.kind in ("ping", "ack"):
            message.digest = self.digest
        if self.watch is not None and message.kind not in ("join", "sync"):
            times = self.tuning.retransmits(len(self.live()))
            message.findings = self.watch.tell(self.tuning.findings_per_message, times)
        if lead is not None:
            message.gossip = _leading(lead, message.gossip)
        message.reply_to = self.address
        self.outbox.append((to, message))

    def _push(self, kind: str, to: Address) -> None:
        """The whole state, for joins, for views that differ and for finding the other side of a split: "join"
        asks for the receiver's own in return. In pieces that a datagram can hold."""
        entries = [self._entry(member) for member in self.members.values()]
        chunk = self.tuning.exchange_chunk
        for begin in range(0, len(entries), chunk):
            told = Message(kind, 0, self.name, gossip=entries[begin : begin + chunk])
            if self.watch is not None and not begin:
                told.findings = self.watch.everything()[: self.tuning.exchange_chunk]
            self._send(to, told)
            kind = "sync"  # one answer is enough

    def _entry(self, member: Member, status: Status | None = None) -> Entry:
        """What this member tells of `member`: its state as seen here, or `status` in its incarnation."""
        told = (status or member.status).value
        return Entry(told, member.name, member.address, member.incarnation, self.name)

    def _reconnect(self, now_us: int) -> None:
        """Seeds while nobody is known, else one member declared dead; tombstones are dropped when old."""
        self.next_reconnect_us = now_us + self.tuning.period_us * self.tuning.reconnect_periods
        keep_us = self.tuning.period_us * self.tuning.tombstone_periods
        for member in list(self.members.values()):
            if member.status not in IN_VIEW and now_us - member.since_us >= keep_us:
                del self.members[member.name]
                self._mark(None, member.name)
                self._live = None
        if self.leaving:
            return
        if self.seeds and len(self.live()) == 1:
            for seed in self.seeds:
                self._push("join", seed)
        # Also one that left: it may be back under its address, with no seed of its own that lives.
        gone = [member for member in self.members.values() if member.status not in IN_VIEW]
        if gone:
            self._push("join", self.random.choice(gone).address)

    # Cut off or not.

    def _judge_isolation(self, now_us: int) -> None:
        live = self.live()
        if live is self._judged:
            return  # nothing changed since it was judged last
        self._judged = live
        seen = len(self.agreed.intersection(live))
        isolated = seen < len(self.agreed) // 2 + 1
        if isolated != self.isolated:
            self.isolated = isolated
            told = {"seen": seen, "agreed": len(self.agreed)}
            self.events.append(("isolated" if isolated else "healed", {"member": self.name, **told}))
        if not self.suspected and not isolated:
            self.agreed = frozenset(live)
        if self.watch is not None:
            self.watch.seen(live, self.agreed, isolated)

    # Small things.

    def _next_seq(self) -> int:
        self.seq = (self.seq + 1) & 0xFFFF_FFFF
        return self.seq

    def _event(self, kind: str, member: Member, **more: object) -> None:
        told = {"member": member.name, "incarnation": member.incarnation, **more}
        self.events.append((kind, told))

    def _fault(self, kind: str) -> None:
        self.faults[kind] = self.faults.get(kind, 0) + 1


def _leading(entry: Entry, entries: list[Entry]) -> list[Entry]:
    """`entry` first, and no other word of the same member after it."""
    return [entry, *(other for other in entries if other.name != entry.name)]
