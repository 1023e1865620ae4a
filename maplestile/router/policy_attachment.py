"""Connects the policy driver to the components of a router process.

`policy_driver` is imported only if the router takes part in an agreed policy; platform nodes do not load it.
"""

from typing import TYPE_CHECKING

from maplestile.router.clock import poll_until
from maplestile.router.components import Components
from maplestile.router.supervisor import TaskSupervisor

if TYPE_CHECKING:
    from maplestile.router.policy_driver import PolicyDriver


def attach_policy(components: Components, policy: "PolicyDriver") -> None:
    """Let the policy driver set the settings of the components, and decide whether new calls are accepted."""
    components.policy = policy
    policy.counters = components.counters
    policy.apply_config = components.adopt_policy
    policy.calls_by_epoch = components.core.epochs
    components.core.intake.accepts_calls = policy.accepts_calls
    if policy.settings.trace:
        components.core.attempts.on_sent = policy.log_attempt


async def start_policy(components: Components, policy: "PolicyDriver", supervisor: TaskSupervisor) -> None:
    """Start the policy driver; return once new calls are accepted or the process is asked to stop."""
    from maplestile.router.policy_jobs import run_in_thread

    policy.run_job = run_in_thread
    supervisor.start(policy.run)
    await poll_until(lambda: policy.accepts_calls() or components.stopping.is_set())
