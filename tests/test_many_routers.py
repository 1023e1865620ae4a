"""What many dispatchers do together: some tens of them with seeds of their own, on one virtual clock."""

from maplestile import interface as api
from tests.helpers import MS, Driver, arrival, ended, entry, sends, settings


def test_copies_of_a_function_are_few_enough_at_forty_routers() -> None:
    """A twentieth of the work of 40 workers is twice a mean worker's: it had 12 seats, and loads at each."""
    told, workers = settings(dispatchers=40), [entry(f"w{i}") for i in range(40)]
    used = set[str]()
    for seed in range(40):
        d = Driver(told, workers, seed)
        for call in range(100):
            d.run(200 * MS)
            function = "warm" if call % 20 == 0 else f"rare-{call}"
            for send in sends(d.give(arrival(call, function))):
                if function == "warm" and call > 50:
                    used.add(send.worker)
                d.give(ended(call, 0, send.worker, api.Result.OK))
    assert 2 <= len(used) <= 6
