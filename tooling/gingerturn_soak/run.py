"""One run of the soak: processes, callers, scheduled faults and the verdict."""

import asyncio
import collections.abc
import contextlib
import pathlib
import signal
import subprocess

import httpx
import msgspec

from gingerturn_soak import callers, checks, ledger, proxy, schedule
from gingerturn_standins import (
    platform_processes,
    platform_upstream,
    processes,
)

SERVICES = ("plans", "porting")
EXIT_WAIT_S = 8.0
HEAL_S = 6.0
"""Time from the end of the last fault until requests must be served again."""

POST_RECOVERY_S = 2.0
DEADLY_INTERVAL_S = 0.15
LOG_DOWNTIME_S = 0.5
"""How long the log is down while it is restored from a backup."""

RATE_LIMITS = ("0", "0.4", "3.5", "12")
"""Limits that a backend server reports, picked by the duration of the step."""

VERSIONED_ROUTES = 6
"""Number of earlier versions that a configuration still has routes for."""


class Run:
    """A run of the soak.

    :param folder: for the settings and logs of the processes.
    :param machines: number of nodes, each with a backend server.
    """

    def __init__(self, folder: pathlib.Path, *, machines: int) -> None:
        self._count = machines
        self._folder = folder
        self._faults: list[checks.Fault] = []
        self._published: dict[int, float] = {}
        self._log_link = proxy.Proxy(0, 0)
        self._backend_links: list[proxy.Proxy] = []
        self._peer_links: list[proxy.Proxy] = []
        self._caller_links: list[proxy.Proxy] = []
        self._callers: list[callers.Callers] = []
        self._versions: list[int] = []

    async def play(self, steps: list[schedule.Step]) -> checks.Observations:
        """Run a schedule and return the observations."""
        (link,) = processes.free_ports(1)
        self._platform = platform_processes.Platform(self._folder, log_link=link)
        with self._platform:
            self._log_link = proxy.Proxy(link, self._platform.store_port)
            await self._log_link.start()
            self._configure()
            await self._start_machines()
            await asyncio.to_thread(self._platform.wait_ready, 40.0)
            stop = asyncio.Event()
            async with asyncio.TaskGroup() as group:
                for each in self._callers:
                    group.create_task(each.run(stop))
                await self._run_steps(steps)
                await asyncio.sleep(HEAL_S)
                healed = callers.now_ms()
                await asyncio.sleep(POST_RECOVERY_S)
                stop.set()
            await self._close()
        files = sorted(self._folder.glob("*.upstream.log"))
        return checks.Observations(
            attempts=[a for each in self._callers for a in each.attempts],
            ledger=ledger.Ledger(files),
            faults=self._faults,
            published=self._published,
            healed=healed,
        )

    async def _start_machines(self) -> None:
        for number in range(self._count):
            link, peers, door = processes.free_ports(3)
            machine = self._platform.add(
                f"m{number}",
                service=SERVICES[number % len(SERVICES)],
                link=link,
                peers_link=peers,
            )
            self._backend_links.append(proxy.Proxy(link, machine.ports["app"]))
            self._peer_links.append(proxy.Proxy(peers, machine.ports["inbound"]))
            self._caller_links.append(proxy.Proxy(door, machine.ports["outbound"]))
            for each in (self._backend_links, self._peer_links, self._caller_links):
                await each[-1].start()
            self._callers.append(callers.Callers(machine.name, door))

    async def _close(self) -> None:
        for each in (
            self._log_link,
            *self._backend_links,
            *self._peer_links,
            *self._caller_links,
        ):
            await each.close()

    async def _run_steps(self, steps: list[schedule.Step]) -> None:
        """Start each step at its time; steps may overlap."""
        begun = asyncio.get_running_loop().time()
        async with asyncio.TaskGroup() as group:
            for step in steps:
                wait = begun + step.at - asyncio.get_running_loop().time()
                await asyncio.sleep(max(0.0, wait))
                group.create_task(self._run_step(step))

    async def _run_step(self, step: schedule.Step) -> None:
        affects_all = (
            step.kind is schedule.Kind.CONNECTIONS_SILENT
            or step.kind.value.startswith("log-")
        )
        machine = self._machine(step.target)
        fault = checks.Fault(
            kind=step.kind,
            node="" if affects_all else machine.name,
            began=callers.now_ms(),
            ended=float("inf"),
        )
        self._faults.append(fault)
        await _ACTIONS[step.kind](self, step, fault)
        fault.ended = callers.now_ms()

    def _machine(self, target: int) -> platform_processes.Machine:
        return list(self._platform.machines.values())[target]

    def _configure(self) -> None:
        recent = self._versions[-VERSIONED_ROUTES:]
        # A configuration has a route with its own version, which callers probe.
        version = self._platform.next_version
        routes = [_route("r-a", "/a/", "plans"), _route("r-p", "/p/", "porting")]
        routes += [_route(f"r-{v}", f"/v/{v}/", "plans") for v in [*recent, version]]
        self._platform.configure(*routes)
        self._versions.append(version)
        self._published[version] = callers.now_ms()
        for each in self._callers:
            each.version = version

    # Actions of the steps.

    async def _node_kill(self, step: schedule.Step, fault: checks.Fault) -> None:
        machine = self._machine(step.target)
        await self._signal_and_wait(machine.node, signal.SIGKILL)
        await asyncio.sleep(step.duration_s)
        self._start_node(machine, step.target)

    async def _node_stop(self, step: schedule.Step, fault: checks.Fault) -> None:
        machine = self._machine(step.target)
        if machine.node.poll() is not None:
            return
        fault.exit_status = await self._signal_and_wait(machine.node, signal.SIGTERM)
        self._start_node(machine, step.target)

    async def _node_pause(self, step: schedule.Step, fault: checks.Fault) -> None:
        await self._pause(self._machine(step.target).node, step.duration_s)

    async def _node_reload(self, step: schedule.Step, fault: checks.Fault) -> None:
        node = self._machine(step.target).node
        if node.poll() is None:
            node.send_signal(signal.SIGHUP)

    async def _backend_kill(self, step: schedule.Step, fault: checks.Fault) -> None:
        machine = self._machine(step.target)
        await self._signal_and_wait(machine.upstream, signal.SIGKILL)
        await asyncio.sleep(step.duration_s)
        if machine.upstream.poll() is not None:
            self._platform.restart_upstream(machine)

    async def _backend_pause(self, step: schedule.Step, fault: checks.Fault) -> None:
        await self._pause(self._machine(step.target).upstream, step.duration_s)

    async def _backend_drain(self, step: schedule.Step, fault: checks.Fault) -> None:
        """Drain a backend server, let it serve for a while, and replace it."""
        machine = self._machine(step.target)
        await self.control_backend(machine, state="draining")
        await asyncio.sleep(checks.APPLY_MS / 1000.0 + step.duration_s)
        await self._backend_kill(step, fault)

    async def _backend_limit(self, step: schedule.Step, fault: checks.Fault) -> None:
        """Let a backend server report a rate limit for a while."""
        machine = self._machine(step.target)
        limit = RATE_LIMITS[int(step.duration_s * 1_000) % len(RATE_LIMITS)]
        await self.control_backend(machine, limit=limit)
        await asyncio.sleep(step.duration_s)
        await self.control_backend(machine, limit=None)

    async def _backend_leaving(self, step: schedule.Step, fault: checks.Fault) -> None:
        """Let a backend server report leaving in answers only, and replace it."""
        machine = self._machine(step.target)
        await self.control_backend(machine, leaving=True)
        await asyncio.sleep(checks.APPLY_MS / 1000.0 + step.duration_s)
        await self._backend_kill(step, fault)

    async def _backend_refuse(self, step: schedule.Step, fault: checks.Fault) -> None:
        await self._control_for(step, refuse=True)

    async def _backend_cut(self, step: schedule.Step, fault: checks.Fault) -> None:
        await self._control_for(step, cut=True)

    async def _backend_unrelated(
        self, step: schedule.Step, fault: checks.Fault
    ) -> None:
        await self._control_for(step, unrelated=True)

    async def _backend_link(self, step: schedule.Step, fault: checks.Fault) -> None:
        await self._degrade_link(self._backend_links[step.target], step)

    async def _backend_reset(self, step: schedule.Step, fault: checks.Fault) -> None:
        self._backend_links[step.target].reset()

    async def _peers_link(self, step: schedule.Step, fault: checks.Fault) -> None:
        await self._degrade_link(self._peer_links[step.target], step)

    async def _peers_reset(self, step: schedule.Step, fault: checks.Fault) -> None:
        self._peer_links[step.target].reset()

    async def _caller_reset(self, step: schedule.Step, fault: checks.Fault) -> None:
        self._caller_links[step.target].reset()

    async def _silence(self, step: schedule.Step, fault: checks.Fault) -> None:
        """Let all open connections to the log, between nodes and to backend servers
        fall silent."""
        for link in (self._log_link, *self._peer_links, *self._backend_links):
            link.silence()

    async def _log_down(self, step: schedule.Step, fault: checks.Fault) -> None:
        await self._inject_log_fault(step, down=True)

    async def _log_silent(self, step: schedule.Step, fault: checks.Fault) -> None:
        await self._inject_log_fault(step, silent=True)

    async def _log_slow(self, step: schedule.Step, fault: checks.Fault) -> None:
        await self._inject_log_fault(step, delay_ms=200.0 * step.duration_s)

    async def _log_loses(self, step: schedule.Step, fault: checks.Fault) -> None:
        await asyncio.to_thread(self._platform.fault, lose_answers=3)

    async def _log_on_link(self, step: schedule.Step, fault: checks.Fault) -> None:
        await self._degrade_link(self._log_link, step)

    async def _log_restored(self, step: schedule.Step, fault: checks.Fault) -> None:
        """Restore the log from a backup, then publish a configuration."""
        await asyncio.to_thread(self._platform.back_up_store)
        await asyncio.sleep(step.duration_s)
        await asyncio.to_thread(self._platform.fault, down=True)
        await asyncio.to_thread(self._platform.restore_store)
        await asyncio.sleep(LOG_DOWNTIME_S)
        await asyncio.to_thread(self._platform.fault, down=False)
        self._configure()

    async def _change(self, step: schedule.Step, fault: checks.Fault) -> None:
        self._configure()

    async def _deadly(self, step: schedule.Step, fault: checks.Fault) -> None:
        """Send a crashing request through the machines in turn, and restart the backend
        servers that crash."""
        loop = asyncio.get_running_loop()
        begun = loop.time()
        number = 0
        async with asyncio.TaskGroup() as group:
            while loop.time() < begun + step.duration_s:
                each = self._callers[number % len(self._callers)]
                group.create_task(each.send_deadly(number))
                number += 1
                await asyncio.sleep(DEADLY_INTERVAL_S)
                for machine in self._platform.machines.values():
                    if machine.upstream.poll() == platform_upstream.DEADLY_EXIT:
                        self._platform.restart_upstream(machine)

    async def _degrade_link(self, link: proxy.Proxy, step: schedule.Step) -> None:
        """Degrade a link, in a mode picked by the duration of the step."""
        modes = (proxy.Mode.DELAY, proxy.Mode.SILENT, proxy.Mode.ONE_WAY)
        mode = modes[int(step.duration_s * 1_000) % len(modes)]
        link.set_mode(mode, delay_ms=100.0 * step.duration_s)
        await asyncio.sleep(step.duration_s)
        link.set_mode(proxy.Mode.PASS)

    async def _inject_log_fault(self, step: schedule.Step, **fault: object) -> None:
        await asyncio.to_thread(self._platform.fault, **fault)
        await asyncio.sleep(step.duration_s)
        cleared = {name: type(value)() for name, value in fault.items()}
        await asyncio.to_thread(self._platform.fault, **cleared)

    async def _control_for(self, step: schedule.Step, **fields: object) -> None:
        machine = self._machine(step.target)
        await self.control_backend(machine, **fields)
        await asyncio.sleep(step.duration_s)
        await self.control_backend(machine, **dict.fromkeys(fields, False))

    async def control_backend(
        self, machine: platform_processes.Machine, **fields: object
    ) -> None:
        """Set the behaviour of a backend server, if it runs.

        One that has just been started may not listen yet; the step is then skipped.
        """
        if machine.upstream.poll() is None:
            with contextlib.suppress(httpx.TransportError):
                await asyncio.to_thread(machine.tell_upstream, **fields)

    async def _pause(self, process: subprocess.Popen[bytes], lasts: float) -> None:
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(lasts)
            process.send_signal(signal.SIGCONT)

    async def _signal_and_wait(
        self, process: subprocess.Popen[bytes], number: signal.Signals
    ) -> int | None:
        """Signal a process and return its exit status, if it exits in time."""
        if process.poll() is None:
            process.send_signal(number)
        try:
            return await asyncio.to_thread(process.wait, EXIT_WAIT_S)
        except subprocess.TimeoutExpired:
            process.kill()
            return None

    def _start_node(self, machine: platform_processes.Machine, target: int) -> None:
        if machine.node.poll() is not None:
            machine.node = self._platform.start_node(machine.name)
            self._callers[target].incarnation += 1


def _route(name: str, prefix: str, service: str) -> dict[str, object]:
    safe = service == "plans"
    return {
        "name": name,
        "hostname": callers.HOST,
        "path_prefix": prefix,
        "route_type": "safe" if safe else "non_idempotent",
        "timeout_ms": 1_500,
        "target_latency_ms": 500,
        "priority": 2 if safe else 0,
        "service_name": service,
        "max_attempts": 2 if safe else 1,
    }


_Action = collections.abc.Callable[
    [Run, schedule.Step, checks.Fault], collections.abc.Awaitable[None]
]
_ACTIONS: dict[schedule.Kind, _Action] = {
    schedule.Kind.NODE_KILL: Run._node_kill,
    schedule.Kind.NODE_STOP: Run._node_stop,
    schedule.Kind.NODE_PAUSE: Run._node_pause,
    schedule.Kind.NODE_RELOAD: Run._node_reload,
    schedule.Kind.BACKEND_KILL: Run._backend_kill,
    schedule.Kind.BACKEND_PAUSE: Run._backend_pause,
    schedule.Kind.BACKEND_DRAIN: Run._backend_drain,
    schedule.Kind.BACKEND_REFUSE: Run._backend_refuse,
    schedule.Kind.BACKEND_CUT: Run._backend_cut,
    schedule.Kind.BACKEND_UNRELATED: Run._backend_unrelated,
    schedule.Kind.BACKEND_LINK: Run._backend_link,
    schedule.Kind.BACKEND_RESET: Run._backend_reset,
    schedule.Kind.PEERS_LINK: Run._peers_link,
    schedule.Kind.PEERS_RESET: Run._peers_reset,
    schedule.Kind.CALLER_RESET: Run._caller_reset,
    schedule.Kind.LOG_DOWN: Run._log_down,
    schedule.Kind.LOG_SILENT: Run._log_silent,
    schedule.Kind.LOG_SLOW: Run._log_slow,
    schedule.Kind.LOG_LOSES: Run._log_loses,
    schedule.Kind.LOG_LINK: Run._log_on_link,
    schedule.Kind.CONFIGURE: Run._change,
    schedule.Kind.DEADLY: Run._deadly,
    schedule.Kind.LOG_RESTORED: Run._log_restored,
    schedule.Kind.BACKEND_LIMIT: Run._backend_limit,
    schedule.Kind.BACKEND_LEAVING: Run._backend_leaving,
    schedule.Kind.CONNECTIONS_SILENT: Run._silence,
}


class Verdict(msgspec.Struct):
    """The result of a run.

    :param violations: a sentence for each violation.
    """

    seed: int
    attempts: int
    served: int
    steps: list[str]
    violations: list[str]


def play(
    seed: int,
    folder: pathlib.Path,
    *,
    machines: int,
    length_s: float,
    timing: bool,
    deadly: bool = False,
    restored: bool = False,
    reported: bool = False,
    silenced: bool = False,
    unrelated: bool = False,
) -> Verdict:
    """Play the run of a seed and check it."""
    steps = schedule.draw(
        seed,
        machines=machines,
        length_s=length_s,
        deadly=deadly,
        restored=restored,
        reported=reported,
        silenced=silenced,
        unrelated=unrelated,
    )
    run = Run(folder, machines=machines)
    observed = asyncio.run(run.play(steps))
    return Verdict(
        seed=seed,
        attempts=len(observed.attempts),
        served=sum(attempt.status == 200 for attempt in observed.attempts),
        steps=[f"{s.at:g} {s.kind.value} m{s.target} {s.duration_s:g}" for s in steps],
        violations=checks.violations(observed, timing=timing),
    )
