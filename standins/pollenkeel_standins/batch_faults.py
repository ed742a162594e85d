"""Faults of a batch site.

Each fault ends once a condition holds, never after a fixed time, so that its effect
does not depend on the speed of the machine.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

from pollenkeel_standins.batch_site import LIMIT, BatchSite
from pollenkeel_standins.cluster import wait_until
from pollenkeel_standins.relay import Mode

#: VM whose agent or worker is affected.
VM = "vm-kingston"
_WORKER = f"worker-{VM}"


class Fault(ABC):
    """Base class of the faults.

    Parameters
    ----------
    site : BatchSite
        Site that the fault is injected into.

    Attributes
    ----------
    seconds : float
        Run time for tasks that have to outlast the fault.
    """

    seconds = 4.0

    def __init__(self, site: BatchSite) -> None:
        self.site = site

    @abstractmethod
    def begin(self) -> None:
        """Inject the fault."""

    @abstractmethod
    def end(self) -> None:
        """Wait until the fault has had its effect, then remove it."""


class OwnerFault(Fault):
    """Fault of the owner of shard 0 that ends after another entry has taken over."""

    def begin(self) -> None:
        """Stop the current owner."""
        owner, self.epoch = self.site.owner()
        self.owner = self.site.process(owner)
        self.stop_owner()

    def end(self) -> None:
        """Wait for the take-over, then let the old owner continue."""
        self.site.wait_for_owner(self.epoch + 1)
        self.resume_owner()

    @abstractmethod
    def stop_owner(self) -> None:
        """Keep the owner from renewing its lease."""

    @abstractmethod
    def resume_owner(self) -> None:
        """Let the old owner continue."""


class OwnerFrozen(OwnerFault):
    """The owner is frozen until its lease has lapsed."""

    def stop_owner(self) -> None:
        """Freeze the owner."""
        self.owner.freeze()

    def resume_owner(self) -> None:
        """Resume the old owner."""
        self.owner.thaw()


class OwnerKilled(OwnerFault):
    """The owner is killed and restarted."""

    def stop_owner(self) -> None:
        """Kill the owner."""
        self.owner.kill()

    def resume_owner(self) -> None:
        """Restart the old owner."""
        self.site.cluster.restart(self.owner.name)


class OwnerCutFromStore(OwnerFault):
    """The owner loses the store, but still reaches the agents during the take-over."""

    def stop_owner(self) -> None:
        """Cut the owner off from the store."""
        self.site.store_relays_by_entry[self.owner.name].set_mode(Mode.CUT)

    def resume_owner(self) -> None:
        """Reconnect the old owner to the store."""
        self.site.store_relays_by_entry[self.owner.name].set_mode(Mode.PASS)


class NewOwnerCutFromAgent(OwnerCutFromStore):
    """Only the old owner reaches one agent, until its tasks are restarted elsewhere.

    The old owner reaches neither the store nor any other agent, since either would
    reveal that it has lost the shard.
    """

    seconds = 14.0

    def stop_owner(self) -> None:
        """Block the other entry at the agent, then cut the owner off from the store."""
        self.task_names = self._find_running_tasks()
        others = (e.name for e in self.site.entries() if e.name != self.owner.name)
        self._block_sender(next(others))
        super().stop_owner()

    def resume_owner(self) -> None:
        """Reconnect everything once the VM's tasks have been restarted elsewhere."""
        wait_until(self._are_restarted_elsewhere, LIMIT, "restart elsewhere")
        for relay in self.site.agent_relays_by_vm.values():
            relay.block(b"")
        super().resume_owner()

    def _block_sender(self, new: str) -> None:
        """Block the new owner at the faulty VM and the old owner at all others."""
        for vm, relay in self.site.agent_relays_by_vm.items():
            relay.block((new if vm == VM else self.owner.name).encode())

    def _find_running_tasks(self) -> set[str]:
        """Return the tasks of the job ``j`` that are running on the VM."""
        running = self.site.running(VM)
        return {run.name for run in running if run.name.startswith("j:")}

    def _are_restarted_elsewhere(self) -> bool:
        task_names = {run.name for run in self.site.executions() if run.vm != VM}
        return task_names >= self.task_names


class AgentRestartedThenCut(NewOwnerCutFromAgent):
    """The agent answers the new owner and restarts; then only the old owner reaches it.

    The old owner is frozen until the agent is killed.
    """

    seconds = 20.0

    def stop_owner(self) -> None:
        """Restart the agent such that only the old owner reaches it."""
        self.task_names = self._find_running_tasks()
        OwnerCutFromStore.stop_owner(self)
        self.owner.freeze()
        new = self.site.wait_for_owner(self.epoch + 1)
        wait_until(self._has_answered, LIMIT, "agent has answered the new owner")
        self._block_sender(new)
        self.site.process(VM).kill()
        self.owner.thaw()
        self.site.cluster.restart(VM)

    def _has_answered(self) -> bool:
        epochs = self.site.dump(VM)["tasks"]["epoch_by_shard"]
        return max(epochs.values(), default=0) > self.epoch


class AgentFrozen(Fault):
    """The agent is frozen until its tasks' leases have lapsed."""

    def begin(self) -> None:
        """Freeze the agent."""
        self.site.process(VM).freeze()

    def end(self) -> None:
        """Resume the agent once the owner has dropped it and restarted its tasks."""
        wait_until(lambda: not self.site.running(VM), LIMIT, "leases lapsed")
        entry = self.site.owner()[0]
        wait_until(
            lambda: not self.site.has_ready_agent(entry, VM), LIMIT, "agent gone"
        )
        task_names = {run.name for run in self.site.executions() if run.vm == VM}
        wait_until(lambda: self._are_elsewhere(task_names), LIMIT, "restart elsewhere")
        self.site.process(VM).thaw()

    def _are_elsewhere(self, task_names: set[str]) -> bool:
        done = set(self.site.count_done())
        moved = {run.name for run in self.site.executions() if run.vm != VM}
        return task_names <= done | moved


class AgentKilled(Fault):
    """The agent is killed and restarted without its in-memory state."""

    def begin(self) -> None:
        """Kill the agent."""
        self.site.process(VM).kill()

    def end(self) -> None:
        """Restart the agent."""
        self.site.cluster.restart(VM)


class AgentSlow(Fault):
    """Messages to the agent and its answers are delayed."""

    def begin(self) -> None:
        """Add a delay in both directions."""
        self.site.agent_relays_by_vm[VM].set_delay(0.5, 0.5)

    def end(self) -> None:
        """Remove the delay once a run on the VM has ended."""
        runs = {(r.name, r.attempt) for r in self.site.running(VM)}
        wait_until(lambda: not runs or runs & self._ended(), LIMIT, "a run has ended")
        self.site.agent_relays_by_vm[VM].set_delay(0.0)

    def _ended(self) -> set[tuple[str, int]]:
        return {(r.name, r.attempt) for r in self.site.executions() if r.end}


class AgentSilent(Fault):
    """Connections to the agent stay open but carry no data."""

    def begin(self) -> None:
        """Stop carrying data."""
        self.site.agent_relays_by_vm[VM].set_mode(Mode.SILENT)

    def end(self) -> None:
        """Let new connections work once the VM's task leases have lapsed."""
        wait_until(lambda: not self.site.running(VM), LIMIT, "leases lapsed")
        self.site.agent_relays_by_vm[VM].set_mode(Mode.PASS)


class WorkerKilled(Fault):
    """The worker is killed together with its tasks, and restarted."""

    def begin(self) -> None:
        """Kill the worker."""
        self.site.process(_WORKER).kill()

    def end(self) -> None:
        """Restart the worker."""
        self.site.cluster.restart(_WORKER)


class WorkerFrozen(Fault):
    """The worker is frozen until the owner lists the VM as not ready."""

    def begin(self) -> None:
        """Freeze the worker."""
        self.site.process(_WORKER).freeze()

    def end(self) -> None:
        """Resume the worker."""
        wait_until(self._is_marked_not_ready, LIMIT, "owner has noticed")
        self.site.process(_WORKER).thaw()

    def _is_marked_not_ready(self) -> bool:
        return not self.site.has_ready_agent(self.site.owner()[0], VM)


class CommitAnswerLost(Fault):
    """The store applies its next writes, but their answers are lost."""

    def begin(self) -> None:
        """Drop the answers of the next writes."""
        platform = self.site.platform
        self.site.cluster.set_faults(platform, lose_answers=8, lost_by="break")

    def end(self) -> None:
        """Wait until all of these answers have been dropped."""
        wait_until(self._are_lost, LIMIT, "answers lost")

    def _are_lost(self) -> bool:
        switches = self.site.cluster.set_faults(self.site.platform)
        return not switches["lose_answers"]
