"""Records that worksrail keeps in the platform's object store."""

from typing import Annotated, Final, TypeVar

import msgspec

_Record = TypeVar('_Record')

HEAD_KEY: Final = 'head'
DRAINS_KEY: Final = 'drains'
_MAX_HISTORY: Final = 500


def seats_key(region: str) -> str:
    """Return the key of a region's seat table."""
    return f'seats/{region}'


def chunk_key(digest: str) -> str:
    """Return the key of a bundle chunk."""
    return f'chunks/{digest}'


def submission_key(digest: str) -> str:
    """Return the key of a bundle's submission record."""
    return f'bundles/{digest}'


def approval_key(digest: str) -> str:
    """Return the key of a bundle's approval record."""
    return f'approvals/{digest}'


class Submission(msgspec.Struct, frozen=True):
    """Record of a submitted bundle."""

    digest: str
    """Digest of the bundle."""

    name: str
    """Name of the deployment that the bundle configures."""

    submitter: str
    """Operator who submitted it."""

    at: float
    """Time in seconds since the epoch."""


class Approval(msgspec.Struct, frozen=True):
    """Record of an approved bundle."""

    digest: str
    """Digest of the reviewed bundle."""

    approver: str
    """Operator who approved it."""

    at: float
    """Time in seconds since the epoch."""


class Generation(msgspec.Struct, frozen=True):
    """One rollout of a bundle."""

    generation: int
    """Generation number."""

    digest: str
    """Digest of the bundle."""

    base: int
    """Generation that it replaced."""

    operation: str
    """Operation id of the rollout."""

    submitter: str
    """Operator who submitted the bundle."""

    approver: str
    """Operator who approved it."""

    roller: str
    """Operator who rolled it out."""

    at: float
    """Time in seconds since the epoch."""


class Head(msgspec.Struct, frozen=True):
    """The configuration in force and its history."""

    history: Annotated[tuple[Generation, ...], msgspec.Meta(min_length=1)]
    """Generations, oldest first."""

    @property
    def newest(self) -> Generation:
        """Return the generation in force."""
        return self.history[-1]

    def find(self, operation: str) -> Generation | None:
        """Return the generation created by an operation, or None."""
        for entry in self.history:
            if entry.operation == operation:
                return entry
        return None

    def extended(self, entry: Generation) -> 'Head':
        """Return a head with a new generation added."""
        return Head((*self.history, entry)[-_MAX_HISTORY:])


class DrainList(msgspec.Struct, frozen=True):
    """Drains requested by operators."""

    revision: int
    """Revision, incremented by each change."""

    targets: tuple[str, ...]
    """Targets of the drains, as ``kind/name``."""

    changed_by: str
    """Operator who made the last change."""


class CorruptObject(ValueError):
    """An object in the store is not a valid record."""


def encode(record: msgspec.Struct) -> bytes:
    """Encode a record for the store."""
    return msgspec.json.encode(record)


def decode(payload: bytes, kind: type[_Record]) -> _Record:
    """Decode a record; raises :class:`CorruptObject`."""
    try:
        return msgspec.json.decode(payload, type=kind)
    except (msgspec.ValidationError, msgspec.DecodeError) as error:
        raise CorruptObject(str(error)) from error
