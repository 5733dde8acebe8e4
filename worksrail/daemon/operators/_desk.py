"""Operations on bundles and drains, stored in the platform's store.

Every change is one conditional update.  Rolls carry an operation id, chosen by
the operator's tool, that makes them idempotent: if the answer of a write was
lost or the tool was run again, the id in the stored head shows the outcome.
"""

import asyncio
import time
from dataclasses import dataclass
from typing import Final, TypeVar

from worksrail.core.bundle import (
    Bundle,
    BundleFaults,
    Drain,
    pack_bundle,
    parse_bundle,
)
from worksrail.core.drains import DrainImpact, is_known_target, plan_drain
from worksrail.core.events import DrainsSeen, HeadSeen, WriteOutcome
from worksrail.core.results import ResultCode
from worksrail.daemon._engine import Engine
from worksrail.daemon.platform._chunks import ChunkCache
from worksrail.daemon.platform._records import (
    DRAINS_KEY,
    HEAD_KEY,
    Approval,
    CorruptObject,
    DrainList,
    Generation,
    Head,
    Submission,
    approval_key,
    chunk_key,
    decode,
    encode,
    submission_key,
)
from worksrail.daemon.platform._store import StoreClient, StoreFault

_Record = TypeVar('_Record')
_MAX_TRIES: Final = 6
_RETRY_DELAY: Final = 0.3
_NO_GENERATION: Final = 0


@dataclass(frozen=True, slots=True)
class Refused:
    """Why an operation was refused."""

    code: ResultCode
    """Result code."""

    detail: str = ''
    """Further details."""

    faults: BundleFaults | None = None
    """All faults of an invalid bundle."""

    figures: tuple[DrainImpact, ...] = ()
    """Expected impact of a refused drain."""


@dataclass(frozen=True, slots=True)
class DrainChange:
    """A changed drain list, or the impact of a change in a dry run."""

    revision: int
    """Revision of the list."""

    targets: tuple[str, ...]
    """Targets of the drains, as ``kind/name``."""

    figures: tuple[DrainImpact, ...]
    """Expected impact on each service and region."""


@dataclass(slots=True)
class Desk:
    """Executes the operations requested by operators."""

    engine: Engine
    """Holds the configuration in force, and receives the events."""

    store: StoreClient
    """Client of the platform's object API."""

    cache: ChunkCache
    """Cache of bundle chunks."""

    async def submit(self, text: str, operator: str) -> Submission | Refused:
        """Store a bundle for review; idempotent."""
        bundle = parse_bundle(text)
        if isinstance(bundle, BundleFaults):
            return Refused(bundle.code, faults=bundle)
        packed = pack_bundle(bundle)
        for digest, payload in packed.chunks.items():
            if not await self._create(chunk_key(digest), payload):
                return Refused(ResultCode.STORE_UNAVAILABLE)
        record = Submission(packed.digest, bundle.name, operator, time.time())
        key = submission_key(packed.digest)
        if not await self._create(key, encode(record)):
            return Refused(ResultCode.STORE_UNAVAILABLE)
        return await self._submission(packed.digest)

    async def approve(self, digest: str, operator: str) -> Approval | Refused:
        """Approve the bundle with that digest; not allowed to its submitter."""
        submission = await self._submission(digest)
        if isinstance(submission, Refused):
            return submission
        if submission.submitter == operator:
            return Refused(ResultCode.SELF_APPROVAL)
        record = Approval(digest, operator, time.time())
        if not await self._create(approval_key(digest), encode(record)):
            return Refused(ResultCode.STORE_UNAVAILABLE)
        return record

    async def roll(
        self,
        digest: str,
        base: int,
        operation: str,
        operator: str,
    ) -> Generation | Refused:
        """Roll out an approved bundle if generation ``base`` is in force."""
        for attempt in range(_MAX_TRIES):
            if attempt:
                await asyncio.sleep(_RETRY_DELAY)
            outcome = await self._roll_once(digest, base, operation, operator)
            if not isinstance(outcome, WriteOutcome):
                return outcome
        return Refused(ResultCode.STORE_UNAVAILABLE, operation)

    async def history(self) -> Head | Refused:
        """Return all generations on record."""
        stored = await self._read(HEAD_KEY, Head)
        if stored is StoreFault.NOT_FOUND:
            return Refused(ResultCode.UNKNOWN_BUNDLE)
        return stored[1] if isinstance(stored, tuple) else _refusal(stored)

    async def show(self, digest: str) -> Bundle | Refused:
        """Return a submitted bundle."""
        bundle = await self.cache.fetch(digest, [self._stored_chunk])
        if isinstance(bundle, Bundle):
            return bundle
        return Refused(ResultCode.UNKNOWN_BUNDLE, bundle.value)

    async def change_drains(
        self,
        drain: Drain,
        operator: str,
        *,
        add: bool,
        dry_run: bool = False,
        force: bool = False,
    ) -> DrainChange | Refused:
        """Add a drain to the list or remove it."""
        if not is_known_target(self.engine.instance, drain):
            return Refused(ResultCode.UNKNOWN_TARGET, drain.name)
        figures: tuple[DrainImpact, ...] = ()
        if add:
            figures = plan_drain(self.engine.instance, drain, self.engine.now())
        fits = all(figure.fits for figure in figures)
        if not fits and not force:
            return Refused(ResultCode.DRAIN_BREAKS_HEADROOM, figures=figures)
        if dry_run:
            configuration = self.engine.instance.configuration
            return DrainChange(
                configuration.drain_revision,
                configuration.drain_targets,
                figures,
            )
        return await self._write_drains(drain, operator, figures, add=add)

    # -- helpers

    async def _roll_once(
        self,
        digest: str,
        base: int,
        operation: str,
        operator: str,
    ) -> Generation | Refused | WriteOutcome:
        stored = await self._read(HEAD_KEY, Head)
        if stored is StoreFault.UNREACHABLE:
            return WriteOutcome.UNKNOWN
        if isinstance(stored, Refused):
            return stored
        version, head = stored if isinstance(stored, tuple) else (0, None)
        done = head.find(operation) if head else None
        if done:
            return done
        in_force = head.newest.generation if head else _NO_GENERATION
        if in_force != base:
            return Refused(
                ResultCode.ROLL_CONFLICT,
                f'generation {in_force} is in force, not {base}',
            )
        entry = await self._new_generation(digest, base, operation, operator)
        if not isinstance(entry, Generation):
            return entry
        changed = head.extended(entry) if head else Head((entry,))
        report = await self.store.write(HEAD_KEY, encode(changed), version)
        if report.outcome is not WriteOutcome.DONE:
            # The next try reads the head, which shows whether it took effect.
            return WriteOutcome.UNKNOWN
        self.engine.dispatch(
            HeadSeen(self.engine.now(), entry.generation, entry.digest)
        )
        return entry

    async def _new_generation(
        self,
        digest: str,
        base: int,
        operation: str,
        operator: str,
    ) -> Generation | Refused | WriteOutcome:
        submission = await self._submission(digest)
        if isinstance(submission, Refused):
            if submission.code is ResultCode.STORE_UNAVAILABLE:
                return WriteOutcome.UNKNOWN
            return submission
        approved = await self._read(approval_key(digest), Approval)
        if approved is StoreFault.UNREACHABLE:
            return WriteOutcome.UNKNOWN
        if not isinstance(approved, tuple):
            return Refused(ResultCode.NOT_APPROVED, digest)
        approval = approved[1]
        if approval.digest != digest:
            return Refused(ResultCode.CORRUPT_OBJECT, approval_key(digest))
        if approval.approver == submission.submitter:
            return Refused(ResultCode.SELF_APPROVAL)
        # A store restored from a backup may hold an older generation than the
        # one in force; generations must never decrease.
        highest = max(base, self.engine.instance.configuration.generation)
        return Generation(
            highest + 1,
            digest,
            base,
            operation,
            submission.submitter,
            approval.approver,
            operator,
            time.time(),
        )

    async def _submission(self, digest: str) -> Submission | Refused:
        stored = await self._read(submission_key(digest), Submission)
        if stored is StoreFault.NOT_FOUND:
            return Refused(ResultCode.UNKNOWN_BUNDLE, digest)
        return stored[1] if isinstance(stored, tuple) else _refusal(stored)

    async def _write_drains(
        self,
        drain: Drain,
        operator: str,
        figures: tuple[DrainImpact, ...],
        *,
        add: bool,
    ) -> DrainChange | Refused:
        target = f'{drain.kind.value}/{drain.name}'
        for _ in range(_MAX_TRIES):
            stored = await self._read(DRAINS_KEY, DrainList)
            if isinstance(stored, Refused):
                return stored
            if stored is not StoreFault.UNREACHABLE:
                changed = self._changed_list(stored, target, operator, add)
                version = stored[0] if isinstance(stored, tuple) else 0
                report = await self.store.write(
                    DRAINS_KEY, encode(changed), version
                )
                if report.outcome is WriteOutcome.DONE:
                    self.engine.dispatch(
                        DrainsSeen(
                            self.engine.now(),
                            changed.revision,
                            changed.targets,
                        )
                    )
                    return DrainChange(
                        changed.revision, changed.targets, figures
                    )
            await asyncio.sleep(_RETRY_DELAY)
        return Refused(ResultCode.STORE_UNAVAILABLE)

    def _changed_list(
        self,
        stored: tuple[int, DrainList] | StoreFault,
        target: str,
        operator: str,
        add: bool,
    ) -> DrainList:
        configuration = self.engine.instance.configuration
        old = stored[1] if isinstance(stored, tuple) else None
        targets = set(old.targets) if old else set()
        if add:
            targets.add(target)
        else:
            targets.discard(target)
        revision = max(old.revision if old else 0, configuration.drain_revision)
        return DrainList(revision + 1, tuple(sorted(targets)), operator)

    async def _create(self, key: str, payload: bytes) -> bool:
        # The object is created with expected version zero, so a conflict means
        # that it exists already.
        for attempt in range(_MAX_TRIES):
            if attempt:
                await asyncio.sleep(_RETRY_DELAY)
            report = await self.store.write(key, payload, 0)
            if report.outcome is not WriteOutcome.UNKNOWN:
                return True
        return False

    async def _read(
        self,
        key: str,
        kind: type[_Record],
    ) -> tuple[int, _Record] | StoreFault | Refused:
        stored = await self.store.read(key)
        if isinstance(stored, StoreFault):
            return stored
        try:
            return stored.version, decode(stored.payload, kind)
        except CorruptObject as error:
            return Refused(ResultCode.CORRUPT_OBJECT, f'{key}: {error}')

    async def _stored_chunk(self, digest: str) -> bytes | None:
        stored = await self.store.read(chunk_key(digest))
        return None if isinstance(stored, StoreFault) else stored.payload


def _refusal(fault: StoreFault | Refused) -> Refused:
    if isinstance(fault, Refused):
        return fault
    return Refused(ResultCode.STORE_UNAVAILABLE)
