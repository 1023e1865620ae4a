"""The agreed policy of a fleet, attached to the components of a router process.

`policy_driver` is imported only where a policy is agreed on: the platform's nodes don't load it.
"""

from typing import TYPE_CHECKING

from maplestile.router.clock import poll_until
from maplestile.router.components import Components
from maplestile.router.supervisor import TaskSupervisor

if TYPE_CHECKING:
    from maplestile.router.policy_driver import PolicyDriver


def attach_policy(components: Components, policy: "PolicyDriver") -> None:
    """Let the policy's epochs decide the settings, and whether calls are admitted."""
    components.policy = policy
    policy.counters = components.counters
    policy.apply_config = components.adopt_policy
    policy.calls_by_epoch = components.core.epochs
    components.core.intake.admits = policy.admits
    if policy.settings.trace:
        components.core.attempts.on_sent = policy.log_attempt


async def start_policy(components: Components, policy: "PolicyDriver", supervisor: TaskSupervisor) -> None:
    """Run the policy driver, and return once calls are admitted or the process was asked to stop."""
    from maplestile.router.policy_jobs import run_in_thread

    policy.run_job = run_in_thread
    supervisor.start(policy.run)
    await poll_until(lambda: policy.admits() or components.stopping.is_set())
