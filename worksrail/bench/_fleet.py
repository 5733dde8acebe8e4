"""Starts and ends the processes of a deployment on loopback addresses.

Used by the demo, the measurements and the tests with real processes.  It
ends only what it started, by process id.
"""

import hashlib
import json
import os
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import msgspec

from worksrail.bench._calls import PATIENCE, get, post, wait_until
from worksrail.bench._plan import EntryPlan, FleetPlan
from worksrail.standins.upstream import UpstreamPlan

_SECRET: Final = 'a-secret-for-measurements-only'
_TOKENS: Final = {'ana': 'token-of-ana', 'luis': 'token-of-luis'}


@dataclass(slots=True)
class Process:
    """A started process."""

    name: str
    """What it is."""

    popen: subprocess.Popen[bytes]
    """The process."""

    def cpu_seconds(self) -> float:
        """Processor time used so far."""
        fields = Path(f'/proc/{self.popen.pid}/stat').read_text().split()
        ticks = int(fields[13]) + int(fields[14])
        return ticks / os.sysconf('SC_CLK_TCK')

    def memory_bytes(self) -> int:
        """Resident memory."""
        pages = Path(f'/proc/{self.popen.pid}/statm').read_text().split()[1]
        return int(pages) * os.sysconf('SC_PAGE_SIZE')

    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self.popen.poll() is None


@dataclass(slots=True)
class Fleet:
    """The processes of a deployment."""

    plan: FleetPlan
    """What it consists of."""

    processes: dict[str, Process] = field(default_factory=dict)
    """Running processes by name."""

    listed: dict[str, bool] = field(default_factory=dict)
    """Instances on the platform's list, and whether they are leaving."""

    def __enter__(self) -> 'Fleet':
        """Start everything and wait until it answers."""
        try:
            self._start_all()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *unused: object) -> None:
        """End everything that still runs."""
        self.stop()

    # -- processes

    def start_entry(self, entry: EntryPlan) -> None:
        """Start an entry instance and list it."""
        seeds = [other.peer for other in self.plan.entries if other != entry]
        flags = {
            'name': entry.name,
            'zone': entry.zone,
            'region': entry.region,
            'caller': entry.caller,
            'operator': entry.operator,
            'peer': entry.peer,
            'passing': entry.passing,
            'store': self.plan.store,
            'seeds': ','.join(seeds),
            'ticket-secrets': _SECRET,
            'operator-tokens': ','.join(
                f'{name}={hashlib.sha256(token.encode()).hexdigest()}'
                for name, token in _TOKENS.items()
            ),
            **self.plan.flags,
        }
        words = [f'--{name}={text}' for name, text in flags.items()]
        self._start(entry.name, 'worksrail.daemon', words)
        self.listed[entry.name] = False
        self.publish_list()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this fleet started."""
        self.processes[name].popen.send_signal(number)

    def wait_ended(self, name: str, seconds: float = PATIENCE) -> int:
        """Wait for a process to end and give its exit code."""
        code = self.processes[name].popen.wait(seconds)
        self.processes.pop(name)
        return code

    def publish_list(self) -> None:
        """Give the platform's stand-in the list of instances."""
        document = [
            {
                'name': entry.name,
                'region': entry.region,
                'peer': entry.peer,
                'leaving': self.listed[entry.name],
            }
            for entry in self.plan.entries
            if entry.name in self.listed
        ]
        post(f'http://{self.plan.store}/admin/instances', document)

    def stop(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            if process.is_running():
                process.popen.kill()
        for process in self.processes.values():
            process.popen.wait()
        self.processes.clear()

    # -- platform, upstreams, entries

    def set_store(self, **faults: object) -> None:
        """Inject faults into the platform's stand-in."""
        post(f'http://{self.plan.store}/admin/faults', faults)

    def set_upstreams(
        self,
        names: tuple[str, ...] = (),
        **faults: object,
    ) -> None:
        """Inject faults into upstreams, all or the named ones."""
        zones = {
            upstream.name: upstream.zone
            for service in self.plan.bundle.services
            for upstream in service.upstreams
        }
        for zone, address in self.plan.admin.items():
            chosen = [
                name
                for name, place in zones.items()
                if place == zone and (not names or name in names)
            ]
            if chosen:
                post(f'http://{address}/admin', {'names': chosen, **faults})

    def upstream_counters(self, *, starts: bool = False) -> list[Any]:
        """Counters of all upstreams that can be reached."""
        counters: list[Any] = []
        for zone, address in self.plan.admin.items():
            if f'upstreams-{zone}' in self.processes:
                query = '?starts=1' if starts else ''
                counters.extend(get(f'http://{address}/admin{query}'))
        return counters

    def reset_upstreams(self) -> None:
        """Forget the upstreams' counters."""
        for address in self.plan.admin.values():
            post(f'http://{address}/admin', {'reset': True})

    def store_counters(self) -> Any:
        """Counters of the platform's stand-in."""
        return get(f'http://{self.plan.store}/admin/counters')

    def status(self, entry: EntryPlan) -> Any:
        """What an entry knows of all instances."""
        return get(f'http://{entry.operator}/v1/status', _TOKENS['ana'])

    def cli(self, *words: str, operator: str = 'ana') -> Any:
        """Run the operators' tool and give its JSON."""
        finished = self.cli_process(*words, operator=operator)
        if finished.returncode:
            raise RuntimeError(finished.stdout + finished.stderr)
        return json.loads(finished.stdout)

    def cli_process(
        self,
        *words: str,
        operator: str = 'ana',
    ) -> subprocess.CompletedProcess[str]:
        """Run the operators' tool and give the finished process."""
        live = [
            entry.operator
            for entry in self.plan.entries
            if entry.name in self.processes
        ]
        environment = {
            **os.environ,
            'WORKSRAIL_ENTRIES': ','.join(live),
            'WORKSRAIL_TOKEN': _TOKENS[operator],
        }
        command = [sys.executable, '-m', 'worksrail.cli.main']
        return subprocess.run(
            [*command, *words, '--json'],
            env=environment,
            capture_output=True,
            text=True,
            check=False,
        )

    def roll(self, text: str) -> Any:
        """Submit, approve and roll a bundle."""
        file = self.plan.folder / 'bundle.yaml'
        file.write_text(text)
        digest = self.cli('bundle', 'submit', str(file))['digest']
        self.cli('bundle', 'approve', digest, operator='luis')
        return self.cli('bundle', 'roll', digest)

    def wait_seats(self) -> None:
        """Wait until all seats of all regions are held."""
        wanted = sum(region.seats for region in self.plan.bundle.regions)

        wait_until(lambda: self._held_seats() >= wanted)

    def _held_seats(self) -> int:
        instances = self.status(self._running_entry())['instances']
        return sum(
            len(one['seats'])
            for one in instances
            if one['seen_as'] in {'live', 'self'}
        )

    def _running_entry(self) -> EntryPlan:
        return next(
            entry for entry in self.plan.entries if entry.name in self.processes
        )

    def _start_all(self) -> None:
        self.plan.folder.mkdir(parents=True, exist_ok=True)
        self._start(
            'platform',
            'worksrail.standins.platform',
            [f'--address={self.plan.store}'],
        )
        wait_until(lambda: bool(self.store_counters() is not None))
        for zone in self.plan.admin:
            self.start_upstreams(zone)
        for entry in self.plan.entries:
            self.start_entry(entry)
        wait_until(lambda: all(map(self._answers, self.plan.entries)))

    def start_upstreams(self, zone: str) -> None:
        """Start the process with all upstreams of a zone."""
        plans = [
            UpstreamPlan(
                upstream.name,
                upstream.address,
                upstream.slots,
                self.plan.service_times[service.name],
                cold_factor=self.plan.cold[0],
                cold_requests=self.plan.cold[1],
            )
            for service in self.plan.bundle.services
            for upstream in service.upstreams
            if upstream.zone == zone
        ]
        file = self.plan.folder / f'{zone}.json'
        file.write_bytes(msgspec.json.encode(plans))
        self._start(
            f'upstreams-{zone}',
            'worksrail.standins.upstream',
            [f'--plan={file}', f'--admin={self.plan.admin[zone]}'],
        )
        address = self.plan.admin[zone]
        wait_until(lambda: bool(get(f'http://{address}/admin')))

    def _answers(self, entry: EntryPlan) -> bool:
        return bool(self.status(entry))

    def _start(self, name: str, module: str, words: list[str]) -> None:
        log = (self.plan.folder / f'{name}.log').open('ab')
        popen = subprocess.Popen(
            [sys.executable, '-m', module, *words],
            stdout=log,
            stderr=log,
        )
        log.close()
        self.processes[name] = Process(name, popen)
