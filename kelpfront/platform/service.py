"""The placer in service: core, front, pools and coordinator on one event loop; signals and life."""

from __future__ import annotations

import asyncio
import errno
import gc
import math
import os
import random
import resource
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import structlog

from kelpfront.clock import CommonClock
from kelpfront.platform import admission, machines, owners
from kelpfront.platform.config import Config, ConfigError, read_config
from kelpfront.platform.coordinator import Follower
from kelpfront.platform.core import Core
from kelpfront.platform.directory import BadEventError, events_of
from kelpfront.platform.intents import Abandon, Forget, Listen, Offer, Say, Tell, Test
from kelpfront.platform.machines import Budget, ConnectionPool
from kelpfront.platform.owners import Front
from kelpfront.platform.pacing import news_wait_ms
from kelpfront.platform.timeouts import POLL_CONNECT_MS, REBIND_FOR_MS, REBIND_MS, Ending
from kelpfront.platform.turns import Turns
from kelpfront.scheduling.events import AttemptOutcome, MachineId
from kelpfront.scheduling.scheduler import Scheduler

if TYPE_CHECKING:
    from kelpfront.platform.watched import WatchPort

log = structlog.get_logger("kelpfront.platform")

FIGURES_S = 5.0  # between two lines of counters in the log
ANSWERED_LOOK_S = 0.02  # between looks whether all that was taken is answered
LATE_S = 0.2  # a turn of the loop that is later than this is logged


class Service:
    """One placer. `run` returns when it has been told to end and what it had taken is answered.

    `began`: when the process did, in seconds of the monotonic clock; 0 where it is not known.
    """

    def __init__(self, path: Path, config: Config, turns: Turns | None = None, began: float = 0.0) -> None:
        self._path, self._config = path, config
        self._began = began or time.monotonic()
        self._clock = CommonClock()
        self.core = Core(
            config,
            Scheduler(config.settings, config.seed),
            lambda conn, call: self._front.presence(conn, call),
        )
        self._shares = shares = admission.Shares.of(_files_most(config.sockets), _descriptors())
        self._budget = Budget(shares.machines, self._one_more)
        self._front = Front(
            self.core,
            self._clock.now,
            self.flush,
            lambda: shares.owners_beside(self._budget.held),
            turns,
            shares.burst,
        )
        self._pools: dict[MachineId, ConnectionPool] = {}
        self._follower = Follower(
            config.coordinator,
            lambda: self.core.fleet.follow,
            self._heard,
            random.Random(config.seed ^ 1),
            config.settings.connect_timeout_ms or POLL_CONNECT_MS,
        )
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = 0.0
        self._flushing = False
        self._ending: asyncio.Event = asyncio.Event()
        self._watched = self._watch_port()
        self.port = 0

    def _watch_port(self) -> WatchPort | None:
        """None where the configuration names no watchers, as the platform's does not: nothing is loaded."""
        config = self._config
        if not config.watchers:
            return None
        from kelpfront.platform.watched import WatchPort

        nonce = int.from_bytes(os.urandom(8))
        host = config.listen.host
        return WatchPort(host, config.watchers, self.core, self._clock.now, self.flush, nonce)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        loop.add_signal_handler(signal.SIGTERM, self._ending.set)
        self._take(self._config.known)
        self._follower.start()
        if self._watched is not None:
            await self._watched.start()
        if self._changed():  # the signal for it may have come before it was listened for
            self._reload()
        starting = loop.create_task(self._start())
        ending = loop.create_task(self._ending.wait())
        await asyncio.wait([starting, ending], return_when=asyncio.FIRST_COMPLETED)
        if not starting.done():  # nobody has been let in
            starting.cancel()
            await asyncio.gather(starting, return_exceptions=True)
            await self.close()
            log.info("ended before it served")
            return
        looks = [loop.create_task(job) for job in (self._sweep(), self._figures())]
        try:
            starting.result()
            log.info("serving", name=self._config.name, port=self.port, machines=len(self.core.machines))
            gc.collect()
            gc.freeze()
            await ending
            await self._end()
        finally:
            for task in (*looks, ending):
                task.cancel()
            await self.close()
        log.info("ended", **self.core.counts)

    async def _start(self) -> None:
        """Lets owners in, once there is news of the list or too long was none."""
        wait_ms = news_wait_ms((time.monotonic() - self._began) * 1000.0)
        if not await self._follower.news(wait_ms):
            log.warning("no news of the list: served by the file's", waited_ms=round(wait_ms))
        give_up = asyncio.get_running_loop().time() + REBIND_FOR_MS / 1000.0
        while True:
            try:
                self.port = await self._front.start(self._config.listen)
                return
            except OSError as error:
                if error.errno != errno.EADDRINUSE or asyncio.get_running_loop().time() >= give_up:
                    raise
            await asyncio.sleep(REBIND_MS / 1000.0)

    async def _end(self) -> None:
        calls = self.core.calls
        log.info("told to end", waiting=calls.waiting, calls=len(calls))
        longest_ms = max(cls.deadline_ms for cls in self._config.settings.classes)
        ending = Ending(self._clock.now(), longest_ms)
        while not ending.over(self._clock.now(), calls.waiting, len(calls)):
            self.core.closing = ending.refuses(self._clock.now())
            await asyncio.sleep(ANSWERED_LOOK_S)

    async def close(self) -> None:
        """Breaks all connections and ends what follows the coordinator."""
        self._follower.stop()
        if self._watched is not None:
            self._watched.close()
        if self._timer is not None:
            self._timer.cancel()
        await self._front.close()
        for pool in list(self._pools.values()):
            pool.close()

    # ---- Between the core and the sockets -------------------------------------------------------------

    def flush(self) -> None:
        """Carries out what the core wants, and sees to its timer. What it brings about joins the queue."""
        if self._flushing:
            return
        self._flushing = True
        try:
            while self.core.out:
                out, self.core.out = self.core.out, []
                for intent in out:
                    self._carry_out(intent)
        finally:
            self._flushing = False
        for text in self.core.logs:
            log.info("decision", text=text)
        self.core.logs.clear()
        self._set_timer()

    def _carry_out(self, intent: object) -> None:
        match intent:
            case Tell():
                self._front.tell(intent)
            case Forget(machine):
                pool = self._pools.pop(machine, None)
                if pool is not None:
                    pool.close()
            case Offer(machine, call, number) if machine not in self.core.machines:
                # It was gone from the list before its turn came: nobody else would ever speak of the attempt.
                self.core.unanswered(self._clock.now(), call, number, AttemptOutcome.NOT_SENT)
            case Offer() | Test():
                self._pool(intent.machine, lambda pool: pool.send(intent))
            case Abandon():
                self._pool(intent.machine, lambda pool: pool.abandon(intent))
            case Say(machine, data):
                self._pool(machine, lambda pool: pool.say(data))
            case Listen(machine):
                self._pool(machine, lambda pool: pool.listen())

    def _pool(self, ident: MachineId, call: Callable[[ConnectionPool], None]) -> None:
        """Has `call` done on the machine's pool, which is made where there is none for its address yet."""
        machine = self.core.machines.get(ident)
        if machine is None:
            return
        pool = self._pools.get(ident)
        if pool is None or pool.address != machine.address:
            if pool is not None:
                pool.close()
            pool = self._pools[ident] = ConnectionPool(
                ident,
                machine.address,
                self.core,
                self._clock.now,
                self.flush,
                self._budget,
                self._config.settings.connect_timeout_ms / 1000.0,
                self._config.idle_ms / 1000.0,
            )
        call(pool)

    def _one_more(self) -> bool:
        """Whether one more connection to a machine has a descriptor; idle owners make room for it."""
        shares, held = self._shares, self._budget.held
        if held < shares.machines_most:
            self._front.shrink(shares.both - held - 1)
        return shares.machine_may_open(held, len(self._front))

    def _set_timer(self) -> None:
        due = self.core.timers.next()
        if self._timer is not None and due < self._timer_at:
            self._timer.cancel()
            self._timer = None
        if due < math.inf and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer_at = due
            delay = max(0.0, due - self._clock.now()) / 1000.0
            # What a stalled loop finds unread is read before time-outs are judged: two turns later.
            self._timer = loop.call_later(delay, loop.call_soon, loop.call_soon, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self.core.timers.run(self._clock.now())
        self.flush()

    # ---- The list, signals, looks ---------------------------------------------------------------------

    def _heard(self, raw: Any) -> None:
        """An answer of the coordinator, with news or without."""
        self._take(raw)
        self.core.freshness.heard(self._clock.now())
        self.flush()

    def _take(self, raw: Any) -> None:
        index, events = events_of(raw, self._config)
        self.core.listed(self._clock.now(), index, events)
        self.flush()

    def _reload(self) -> None:
        try:
            config = read_config(self._path)
            index, events = events_of(config.known, config)
        except (ConfigError, BadEventError) as error:
            log.error("new configuration not taken", error=str(error))
            return
        if index > self.core.fleet.index:  # older than what was told since: nothing new
            self.core.listed(self._clock.now(), index, events)
            self.flush()
        self._follower.move(config.coordinator)

    def _changed(self) -> bool:
        """Whether the file names another coordinator than when it was read, or knows of other events."""
        try:
            new = read_config(self._path)
        except ConfigError:
            return False
        return (new.coordinator, new.known) != (self._config.coordinator, self._config.known)

    async def _sweep(self) -> None:
        loop = asyncio.get_running_loop()
        pools_at = 0.0
        while True:
            began = loop.time()
            await asyncio.sleep(owners.SWEEP_S)
            late = loop.time() - began - owners.SWEEP_S
            if late > LATE_S:
                log.warning("the loop was late", late_ms=round(late * 1000))
            self._front.sweep()
            if loop.time() - pools_at > machines.SWEEP_S:
                pools_at = loop.time()
                for pool in list(self._pools.values()):
                    pool.sweep()
                self._budget.look()  # an owner may have left

    async def _figures(self) -> None:
        while True:
            await asyncio.sleep(FIGURES_S)
            news = {} if self._watched is None else self._watched.news.counters.fields()
            counts = self.core.counts | news
            log.info("figures", memory_mb=_memory_mb(), descriptors=_descriptors(), **counts)


def _memory_mb() -> float:
    """-1 where it cannot be read."""
    try:
        with open("/proc/self/statm") as file:
            return round(int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6, 1)
    except OSError:
        return -1.0


def _files_most(wanted: int) -> int:
    """How many of so many descriptors the system allows this process."""
    most, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return wanted if most == resource.RLIM_INFINITY else min(wanted, most)


def _descriptors() -> int:
    """Those that are open, without the one that this look takes; -1 where it cannot be read."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1
    except OSError:
        return -1
