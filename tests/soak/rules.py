"""Checks the record of a trial against the rules; each broken rule is one line of text.

A time limit is longer by `longest_stall_s`: the stand-ins read and send later by at most that.
"""

import json
from collections import defaultdict
from collections.abc import Iterator

from tests.soak import settings
from tests.soak.records import Answer, Arrival, ProcessEnd, SentRequest, TrialRecord

TOLD_S = 1.5  # a change of the list counts as told after this time at the latest
BUG_COUNTERS = ("loop.errors", "states.invalid_transitions", "runners.tag_in_use", "parts.failed")


def broken_rules(record: TrialRecord) -> list[str]:
    """Return a line for each rule that was broken."""
    by_tag = defaultdict[str, list[Arrival]](list)
    for arrival in record.arrivals:
        by_tag[arrival.tag].append(arrival)
    slack_s = record.longest_stall_s
    lines = [f"second answer: {text}" for text in record.unexpected_answers]
    lines += [f"lost: an unsound request was served: {text}" for text in record.served_unsound]
    for request in record.requests.values():
        arrivals = by_tag[request.tag]
        lines += _lost(request, slack_s)
        lines += _wrongly_answered(request, arrivals)
        lines += _begun_for_nobody(request, arrivals, slack_s)
        lines += _duplicates(request, arrivals, slack_s)
    lines += _sent_to_draining(record)
    for end in record.ends:
        lines += _bad_end(end)
    return lines


def _name(request: SentRequest) -> str:
    return f"{request.class_name} {request.tag} at {request.router}"


def _lost(request: SentRequest, slack_s: float) -> Iterator[str]:
    """Yield a line if the request got no whole answer in time."""
    if request.given_up_s:
        return
    if request.answers:
        late_s = request.answers[0][0] - request.sent_s - request.limit_s
        if late_s > settings.LATE_S + slack_s:
            yield f"lost: {_name(request)}: answered {late_s:.3f} s after its deadline"
    elif not request.connection_ended_s:
        yield f"lost: {_name(request)}: never answered"
    elif (open_s := request.connection_ended_s - request.sent_s) > settings.CROSSING_S + slack_s:
        yield f"lost: {_name(request)}: its connection ended {open_s:.3f} s after it was sent"


def _may_have_run(arrival: Arrival, at_s: float) -> bool:
    """Return whether an attempt may have run, as far as could be known at a time."""
    return arrival.arrived_s < at_s and not 0 < arrival.never_ran_s <= at_s


def _wrongly_answered(request: SentRequest, arrivals: list[Arrival]) -> Iterator[str]:
    """Yield a line for a result that no worker made, or a refusal of a request that may have run."""
    for at_s, kind in request.answers:
        if kind is Answer.SERVED and (not arrivals or request.body_returned != request.body[::-1]):
            yield f"lost: {_name(request)}: served with what no worker made for it"
        is_repeatable = request.class_name == settings.SAFE
        if kind is Answer.REFUSED and not is_repeatable and any(_may_have_run(a, at_s) for a in arrivals):
            yield f"duplicate: {_name(request)}: refused though it may have run"


def _begun_for_nobody(request: SentRequest, arrivals: list[Arrival], slack_s: float) -> Iterator[str]:
    """Yield a line for each attempt that began after its client had gone."""
    if not request.given_up_s:
        return
    for arrival in arrivals:
        after_s = arrival.arrived_s - request.given_up_s
        if after_s > settings.GONE_S + settings.RULE_SLACK_S + slack_s:
            yield f"lost: {_name(request)}: an attempt began {after_s:.3f} s after its client had gone"


def _duplicates(request: SentRequest, arrivals: list[Arrival], slack_s: float) -> Iterator[str]:
    """Yield a line for each attempt that should not have been sent, since an earlier one may have run."""
    if request.class_name == settings.SAFE:
        return
    for number, arrival in enumerate(arrivals):
        earlier = [other for other in arrivals[:number] if _may_have_run(other, arrival.arrived_s)]
        if not earlier:
            continue
        since_s = arrival.arrived_s - earlier[0].arrived_s
        window_s = settings.WINDOW_S + settings.RULE_SLACK_S + slack_s
        if request.class_name == settings.UNSAFE or since_s > window_s:
            yield f"duplicate: {_name(request)}: sent again {since_s:.3f} s after it may have run"


def _sent_to_draining(record: TrialRecord) -> Iterator[str]:
    """Yield a line for each attempt at a worker whose drain had been told long enough before."""
    limit_s = TOLD_S + settings.DRAIN_GRACE_S + settings.RULE_SLACK_S + record.longest_stall_s
    for drain in record.drains:
        for arrival in record.arrivals:
            is_late = drain.told_s + limit_s < arrival.arrived_s < drain.ended_s
            if arrival.worker == drain.worker and is_late:
                yield f"drain: {arrival.tag} at {drain.worker} {arrival.arrived_s - drain.told_s:.3f} s after"


def _bad_end(end: ProcessEnd) -> Iterator[str]:
    """Yield a line if a router did not end by itself with success, or reports a bug."""
    if end.exit_code != 0:
        seconds = end.ended_s - end.told_s
        yield f"crash: {end.router} ended with {end.exit_code}, {seconds:.3f} s after SIGTERM: {end.log[-3:]}"
    if any(line.startswith("Traceback") for line in end.log):
        yield f"crash: {end.router} logged a traceback: {[line for line in end.log if 'Error' in line]}"
    for line in end.log:
        counters = json.loads(line)["counters"] if line.startswith('{"counters"') else {}
        for name in BUG_COUNTERS:
            if counters.get(name):
                yield f"crash: {end.router} counted {name}: {counters[name]}"
