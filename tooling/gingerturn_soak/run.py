"""One run of the soak: processes, callers, scheduled faults and the verdict."""

import asyncio
import collections
import collections.abc
import concurrent.futures
import contextlib
import pathlib
import random
import resource
import signal
import socket
import struct
import subprocess

import httpx
import msgspec

from gingerturn_soak import (
    callers,
    checks,
    lasting,
    ledger,
    odd_entries,
    promises,
    proxy,
    raw_callers,
    schedule,
    watch,
)
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

SETTLED_S = 30.0
"""Time after the last request in which every node recovers."""

LASTING_RECOVERY_S = 5.0
"""How long requests that last are observed once the faults are over."""

SETTLE_S = 1.5
"""Time from the last request until the probes, in which what callers took is freed."""

REVIVAL_S = 0.5
"""Interval at which processes that ended by themselves are started again."""

START_TIMEOUT_S = 40.0
MACHINES_PER_TIMEOUT = 10
"""Machines whose processes start within :data:`START_TIMEOUT_S`."""

USUAL_MACHINES = 8
"""Number of machines from which callers send less often each, and fewer requests
altogether: the processes themselves take more of the machine."""

SPARE_DESCRIPTORS = 2
"""What a starved node has beyond its open descriptors."""

THREADS = 128
BEGIN_POLL_S = 0.01

DEPARTURE_S = 0.6
"""Time in which a backend server leaves, and in which its node has started again: some
of its heartbeats."""

HELD_NAMES = ("outbound", "inbound", "ready", "control")
"""Addresses of a node that are held, picked by the duration of the step."""

SUCCESSES = frozenset({200, 204, 304})

API_KEY_SHARE = 0.5
"""Share of the runs with requests that last in which some of these have API keys."""

VERSIONED_ROUTES = 6
"""Number of earlier versions that a configuration still has routes for."""


class Run:
    """A run of the soak.

    :param folder: for the settings and logs of the processes.
    :param machines: number of nodes, each with a backend server.
    :param rng: order of the requests that last; ``None`` for none of them.
    :param api_keys: whether some of these have API keys.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        *,
        machines: int,
        rng: random.Random | None = None,
        api_keys: bool = False,
    ) -> None:
        self._count = machines
        self._rng = rng
        self._api_keys = api_keys
        self._share = max(1.0, machines / USUAL_MACHINES) ** 2
        self._fleets: list[lasting.Fleet] = []
        self._watch = watch.Watch()
        self._held_by_steps: collections.Counter[int] = collections.Counter()
        self._folder = folder
        self._faults: list[checks.Fault] = []
        self._published: dict[int, float] = {}
        self._log_link = proxy.Proxy(0, 0)
        self._backend_links: list[proxy.Proxy] = []
        self._peer_links: list[proxy.Proxy] = []
        self._caller_links: list[proxy.Proxy] = []
        self._callers: list[callers.Callers] = []
        self._versions: list[int] = []
        self._publishing = asyncio.Lock()
        self._settings: dict[str, bytes] = {}
        self._odd: list[raw_callers.Exchange] = []

    async def play(self, steps: list[schedule.Step]) -> checks.Observations:
        """Run a schedule and return the observations."""
        # Waits for processes, of which each takes a thread, must not delay steps.
        executor = concurrent.futures.ThreadPoolExecutor(THREADS)
        asyncio.get_running_loop().set_default_executor(executor)
        (link,) = processes.free_ports(1)
        slots = platform_upstream.SLOTS if self._rng is None else lasting.SLOTS
        self._platform = platform_processes.Platform(
            self._folder, log_link=link, slots=slots
        )
        with self._platform:
            self._log_link = proxy.Proxy(link, self._platform.store_port)
            await self._log_link.start()
            await self._configure()
            await self._start_machines()
            watching = asyncio.create_task(self._watch.run(self._platform))
            timeout_s = START_TIMEOUT_S * max(1.0, self._count / MACHINES_PER_TIMEOUT)
            await asyncio.to_thread(self._platform.wait_ready, timeout_s)
            reviving = asyncio.create_task(self._revive())
            stop = asyncio.Event()
            async with asyncio.TaskGroup() as group:
                for each in self._callers:
                    group.create_task(each.run(stop, self._share))
                self._start_fleets(group, stop)
                await self._run_steps(steps)
                await asyncio.sleep(HEAL_S)
                healed = callers.now_ms()
                await asyncio.sleep(
                    LASTING_RECOVERY_S if self._fleets else POST_RECOVERY_S
                )
                stop.set()
            await self._probe()
            views = await self._settle()
            for task in (watching, reviving):
                task.cancel()
            await asyncio.gather(watching, reviving, return_exceptions=True)
            self._watch.look(self._platform)
            ended = callers.now_ms()
            upstreams = self._running_upstreams()
            await self._close()
        files = sorted(self._folder.glob("*.upstream.log"))
        return checks.Observations(
            attempts=[a for each in self._callers for a in each.attempts],
            ledger=ledger.Ledger(files),
            faults=self._faults,
            published=self._published,
            healed=healed,
            exchanges=[e for fleet in self._fleets for e in fleet.exchanges],
            lives=self._watch.lives,
            backend_ends=self._watch.backend_ends,
            ended=ended,
            odd=self._odd,
            views=views,
            upstreams=upstreams,
            late_ms=self._watch.late_ms,
        )

    def _start_fleets(self, group: asyncio.TaskGroup, stop: asyncio.Event) -> None:
        if self._rng is None:
            return
        interval_s = lasting.INTERVAL_S * self._share
        for machine in self._platform.machines.values():
            fleet = lasting.Fleet(
                machine.name, machine.ports["outbound"], api_keys=self._api_keys
            )
            self._fleets.append(fleet)
            group.create_task(fleet.run(stop, self._rng, interval_s))

    async def _probe(self) -> None:
        """Send the last requests once all callers have left."""
        if not self._fleets:
            return
        await asyncio.sleep(SETTLE_S)
        await asyncio.gather(*(fleet.probe() for fleet in self._fleets))

    async def _settle(self) -> list[checks.View]:
        """Wait until all nodes have recovered, or the bound on that has passed, and
        return what they know then."""
        deadline = asyncio.get_running_loop().time() + SETTLED_S
        while True:
            machines = list(self._platform.machines.values())
            views = [await asyncio.to_thread(_view, machine) for machine in machines]
            wanted = (True, self._running_upstreams(), self._versions[-1])
            settled = all((v.ready, v.upstreams, v.version) == wanted for v in views)
            settled = settled and not self._watch.has_unready()
            if settled or asyncio.get_running_loop().time() > deadline:
                return views
            await asyncio.sleep(watch.INTERVAL_S)

    def _running_upstreams(self) -> int:
        machines = self._platform.machines.values()
        return sum(machine.upstream.poll() is None for machine in machines)

    async def _revive(self) -> None:
        """Start the nodes again that ended while no step was at work on them, and
        backend servers that a request crashed late."""
        while True:
            await asyncio.sleep(REVIVAL_S)
            self._revive_crashed()
            for target, machine in enumerate(self._platform.machines.values()):
                if not self._held_by_steps[target]:
                    self._start_node(machine, target)

    def _revive_crashed(self) -> None:
        for machine in self._platform.machines.values():
            if machine.upstream.poll() == platform_upstream.DEADLY_EXIT:
                self._platform.restart_upstream(machine)

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
            self._watch.add(machine.name, machine.node)

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
        affects_all = step.kind in {
            schedule.Kind.CONNECTIONS_SILENT,
            schedule.Kind.POWER_LOSS,
        } or step.kind.value.startswith("log-")
        machine = self._machine(step.target)
        fault = checks.Fault(
            kind=step.kind,
            node="" if affects_all else machine.name,
            began=callers.now_ms(),
            ended=float("inf"),
        )
        self._faults.append(fault)
        self._held_by_steps[step.target] += 1
        await _ACTIONS[step.kind](self, step, fault)
        self._held_by_steps[step.target] -= 1
        fault.ended = callers.now_ms()

    def _machine(self, target: int) -> platform_processes.Machine:
        return list(self._platform.machines.values())[target]

    def _routes(self, *versions: int) -> list[dict[str, object]]:
        """Return the common routes, and those of the latest versions and more."""
        recent = self._versions[-VERSIONED_ROUTES:]
        routes = [_route("r-a", "/a/", "plans"), _route("r-p", "/p/", "porting")]
        routes += [_route(f"r-{v}", f"/v/{v}/", "plans") for v in [*recent, *versions]]
        if self._rng is not None:
            routes += lasting.routes(api_keys=self._api_keys)
        return routes

    async def _configure(self) -> None:
        async with self._publishing:
            await asyncio.to_thread(self._publish)

    def _publish(self) -> None:
        # A configuration has a route with its own version, which callers probe.
        version = self._platform.next_version
        workspaces = lasting.WORKSPACES if self._api_keys else None
        self._platform.configure(*self._routes(version), workspaces=workspaces)
        self._versions.append(version)
        self._published[version] = callers.now_ms()
        for each in self._callers:
            each.version = version

    # Actions of the steps.

    async def _stop_with(
        self,
        step: schedule.Step,
        fault: checks.Fault,
        within: collections.abc.Callable[
            [subprocess.Popen[bytes]], collections.abc.Awaitable[None]
        ],
    ) -> None:
        """Stop a node, do something to it within its stop, and start it again."""
        machine = self._machine(step.target)
        if machine.node.poll() is not None:
            return
        stopping = asyncio.create_task(
            self._signal_and_wait(machine.node, signal.SIGTERM)
        )
        await asyncio.sleep(step.duration_s / 4.0)
        await within(machine.node)
        fault.exit_status = await stopping
        self._start_node(machine, step.target)

    async def _node_stop_reload(self, step: schedule.Step, fault: checks.Fault) -> None:
        async def reload(node: subprocess.Popen[bytes]) -> None:
            await self._tell(node, signal.SIGHUP)

        await self._stop_with(step, fault, reload)

    async def _node_stop_twice(self, step: schedule.Step, fault: checks.Fault) -> None:
        async def terminate(node: subprocess.Popen[bytes]) -> None:
            await self._tell(node, signal.SIGTERM)

        await self._stop_with(step, fault, terminate)

    async def _node_stop_pause(self, step: schedule.Step, fault: checks.Fault) -> None:
        async def pause(node: subprocess.Popen[bytes]) -> None:
            await self._pause(node, step.duration_s / 4.0)

        await self._stop_with(step, fault, pause)

    async def _node_start_stop(self, step: schedule.Step, fault: checks.Fault) -> None:
        """Stop a node, start it, and stop it again within the first second."""
        machine = self._machine(step.target)
        await self._signal_and_wait(machine.node, signal.SIGTERM)
        self._start_node(machine, step.target)
        await asyncio.sleep(step.duration_s % 1.0)
        await self._signal_and_wait(machine.node, signal.SIGTERM)
        self._start_node(machine, step.target)

    async def _node_start_half(self, step: schedule.Step, fault: checks.Fault) -> None:
        """Start a node while its settings are half written."""
        machine = self._machine(step.target)
        await self._signal_and_wait(machine.node, signal.SIGTERM)
        with self._half_written(machine):
            self._start_node(machine, step.target)
            await asyncio.sleep(step.duration_s / 4.0)

    async def _node_settings_half(
        self, step: schedule.Step, fault: checks.Fault
    ) -> None:
        """Reload a node with half written settings, and once they are whole."""
        machine = self._machine(step.target)
        with self._half_written(machine):
            await self._tell(machine.node, signal.SIGHUP)
            await asyncio.sleep(step.duration_s / 4.0)
        await self._tell(machine.node, signal.SIGHUP)

    @contextlib.contextmanager
    def _half_written(
        self, machine: platform_processes.Machine
    ) -> collections.abc.Iterator[None]:
        path = self._platform.settings_path(machine.name)
        content = self._settings.setdefault(machine.name, path.read_bytes())
        path.write_bytes(content[: len(content) // 2])
        try:
            yield
        finally:
            path.write_bytes(content)

    async def _node_address_held(
        self, step: schedule.Step, fault: checks.Fault
    ) -> None:
        """Start a node while an outgoing connection has one of its addresses."""
        machine = self._machine(step.target)
        await self._signal_and_wait(machine.node, signal.SIGTERM)
        name = HELD_NAMES[int(step.duration_s * 1_000) % len(HELD_NAMES)]
        with socket.socket() as holder:
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            # Closed by a reset, which leaves no state in the kernel.
            holder.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            with contextlib.suppress(OSError):
                # Bound beside what earlier connections left, but not shared.
                holder.bind(("127.0.0.1", machine.ports[name]))
                holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 0)
                holder.connect(("127.0.0.1", self._platform.store_port))
            self._start_node(machine, step.target)
            await asyncio.sleep(step.duration_s / 2.0)

    async def _node_starved(self, step: schedule.Step, fault: checks.Fault) -> None:
        """Leave a node hardly more descriptors than it has open."""
        process = self._machine(step.target).node
        if process.poll() is not None:
            return
        whole = resource.prlimit(process.pid, resource.RLIMIT_NOFILE)
        count = len(list(pathlib.Path(f"/proc/{process.pid}/fd").iterdir()))
        fewer = (min(whole[0], count + SPARE_DESCRIPTORS), whole[1])
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, fewer)
        await asyncio.sleep(step.duration_s)
        if process.poll() is None:
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, whole)

    async def _callers_leave(self, step: schedule.Step, fault: checks.Fault) -> None:
        if self._fleets:
            await self._fleets[step.target].send_wave()

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
        await self._tell(node, signal.SIGHUP)

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

    async def _backend_departure(
        self, step: schedule.Step, fault: checks.Fault
    ) -> None:
        """Let a backend server leave, kill its node, and let a heartbeat from before
        the departure arrive late. It serves for a while before it is replaced."""
        machine = self._machine(step.target)
        await self.control_backend(machine, departs=True)
        await asyncio.sleep(DEPARTURE_S)
        await self._node_kill(step, fault)
        await asyncio.sleep(DEPARTURE_S)
        await self.control_backend(machine, sends_late=True)
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
        await self._configure()

    async def _log_trimmed(self, step: schedule.Step, fault: checks.Fault) -> None:
        """Drop all records but the newest of each key, for a while."""
        await self._inject_log_fault(step, drops=True)

    async def _power_loss(self, step: schedule.Step, fault: checks.Fault) -> None:
        """Kill all nodes at once and start them again."""
        machines = list(self._platform.machines.values())
        self._held_by_steps.update(range(self._count))
        await asyncio.gather(
            *(self._signal_and_wait(m.node, signal.SIGKILL) for m in machines)
        )
        await asyncio.sleep(step.duration_s / 2.0)
        for target, machine in enumerate(machines):
            self._start_node(machine, target)
        self._held_by_steps.subtract(range(self._count))

    async def _odd_entries(self, step: schedule.Step, fault: checks.Fault) -> None:
        """Append odd entries, then an odd configuration and a plain one, and send
        requests with odd values."""
        rng = random.Random(f"{step.at} {step.target} {step.duration_s}")
        machines = self._platform.machines.values()
        ports = {machine.name: machine.ports["gossip"] for machine in machines}
        key_form = rng.choice(odd_entries.KEY_FORMS)
        await asyncio.to_thread(self._platform.fault, key_form=key_form)
        for records in odd_entries.of_members(rng, ports, callers.now_ms()):
            await asyncio.to_thread(self._platform.append, odd_entries.MEMBERS, records)
            await asyncio.sleep(step.duration_s / odd_entries.BATCHES)
        async with self._publishing:
            version = self._platform.next_version - 1
            more = {"tenants": lasting.WORKSPACES} if self._api_keys else {}
            records = odd_entries.of_operator(rng, version, self._routes(), **more)
            await asyncio.to_thread(
                self._platform.append, odd_entries.OPERATOR, records
            )
        await self._send_odd(self._machine(step.target), rng)
        await self._configure()

    async def _send_odd(
        self, machine: platform_processes.Machine, rng: random.Random
    ) -> None:
        for name, content in odd_entries.requests(rng, machine.ports["link"]):
            exchange = await odd_entries.send(machine, name, content)
            exchange.id = f"odd-{len(self._odd)}"
            self._odd.append(exchange)

    async def _change(self, step: schedule.Step, fault: checks.Fault) -> None:
        await self._configure()

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
                self._revive_crashed()

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

    async def _tell(
        self, process: subprocess.Popen[bytes], number: signal.Signals
    ) -> None:
        """Send a signal to a process, once it is one that could handle signals."""
        if number is not signal.SIGKILL:
            while process.poll() is None and not watch.has_begun(process.pid):
                await asyncio.sleep(BEGIN_POLL_S)
        self._watch.tell(process, number)

    async def _signal_and_wait(
        self, process: subprocess.Popen[bytes], number: signal.Signals
    ) -> int | None:
        """Signal a process and return its exit status, if it exits in time."""
        await self._tell(process, number)
        try:
            return await asyncio.to_thread(process.wait, EXIT_WAIT_S)
        except subprocess.TimeoutExpired:
            self._watch.tell(process, signal.SIGKILL, overdue=True)
            return None

    def _start_node(self, machine: platform_processes.Machine, target: int) -> None:
        if machine.node.poll() is not None:
            self._watch.look(self._platform)
            machine.node = self._platform.start_node(machine.name)
            self._watch.add(machine.name, machine.node)
            self._callers[target].incarnation += 1


def _view(machine: platform_processes.Machine) -> checks.View:
    upstreams, version = machine.metric("upstreams"), machine.metric("route_version")
    return checks.View(machine.name, machine.ready(), int(upstreams), int(version))


def _route(name: str, prefix: str, service: str) -> dict[str, object]:
    safe = service == "plans"
    return {
        "name": name,
        "public": True,
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
    schedule.Kind.NODE_STOP_RELOAD: Run._node_stop_reload,
    schedule.Kind.NODE_STOP_TWICE: Run._node_stop_twice,
    schedule.Kind.NODE_STOP_PAUSE: Run._node_stop_pause,
    schedule.Kind.NODE_START_STOP: Run._node_start_stop,
    schedule.Kind.NODE_START_HALF: Run._node_start_half,
    schedule.Kind.NODE_ADDRESS_HELD: Run._node_address_held,
    schedule.Kind.NODE_SETTINGS_HALF: Run._node_settings_half,
    schedule.Kind.NODE_STARVED: Run._node_starved,
    schedule.Kind.BACKEND_STALL: Run._backend_pause,
    schedule.Kind.CALLERS_LEAVE: Run._callers_leave,
    schedule.Kind.ODD_ENTRIES: Run._odd_entries,
    schedule.Kind.POWER_LOSS: Run._power_loss,
    schedule.Kind.LOG_TRIMMED: Run._log_trimmed,
    schedule.Kind.BACKEND_DEPARTURE: Run._backend_departure,
}


class Verdict(msgspec.Struct):
    """The result of a run.

    :param late_ms: by how much the callers themselves were late at most.
    :param violations: a sentence for each violation.
    """

    seed: int
    late_ms: float
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
    odd: bool = False,
    departed: bool = False,
    lasts: bool = False,
    calm: bool = False,
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
        odd=odd,
        departed=departed,
        lasting=lasts,
        calm=calm,
    )
    rng = random.Random(f"requests {seed}") if lasts else None
    api_keys = lasts and random.Random(f"API keys {seed}").random() < API_KEY_SHARE
    run = Run(folder, machines=machines, rng=rng, api_keys=api_keys)
    observed = asyncio.run(run.play(steps))
    violations = checks.violations(observed, timing=timing)
    if lasts or odd:
        violations += promises.violations(observed, timing=timing)
    return Verdict(
        seed=seed,
        late_ms=observed.late_ms,
        attempts=len(observed.attempts) + len(observed.exchanges),
        served=sum(attempt.status == 200 for attempt in observed.attempts)
        + sum(exchange.status in SUCCESSES for exchange in observed.exchanges),
        steps=[f"{s.at:g} {s.kind.value} m{s.target} {s.duration_s:g}" for s in steps],
        violations=violations,
    )
