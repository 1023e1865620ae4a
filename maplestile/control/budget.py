"""The disruption budget of a rollout: how many instances may be out of service at once."""

from maplestile.common.errors import CommandRejected

PERCENT = 100


def parse_budget(value: object, instances: int) -> int:
    """Convert a budget to a number of instances.

    The budget is a count (`2` or `"2"`) or a share of the fleet (`"25%"`, rounded down, but at least 1).
    Raises CommandRejected if it is invalid.
    """
    if isinstance(value, str) and value.endswith("%") and value[:-1].isdigit():
        return _parse_percentage(value, instances)
    if isinstance(value, str) and value.isdigit():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int) or value < 1:
        raise CommandRejected(f"budget: must be a count from 1 or a share such as 25%, not {value!r}")
    return value


def _parse_percentage(value: str, instances: int) -> int:
    percent = int(value[:-1])
    if not 1 <= percent <= PERCENT:
        raise CommandRejected(f"budget: {value} is not from 1% to 100%")
    return max(1, instances * percent // PERCENT)
