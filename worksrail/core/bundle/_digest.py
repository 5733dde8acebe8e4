"""Split a bundle into content-addressed chunks, and reassemble it.

A chunk is identified by the digest of its bytes.  Chunks form a Merkle tree:
each node lists the digests of its children, and the digest of the root
identifies the bundle.  The lists of client blocks and of digests are divided
by content-defined chunking rather than at fixed positions: an added block
changes one leaf and the few nodes above it, and only those are sent.
"""

import hashlib
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum, unique
from typing import Any, Final

import msgspec
import xxhash

from worksrail.core.bundle._blocks import block_range
from worksrail.core.bundle._check import BundleFaults, validate_document
from worksrail.core.bundle._model import Bundle, ClientBlock

_BLOCK_BOUNDARY_MASK: Final = 0x7F
_MAX_BLOCKS_PER_CHUNK: Final = 1024
_NODE_BOUNDARY_MASK: Final = 0x3F
_MAX_DIGESTS_PER_NODE: Final = 512
_BLOCK_LEAF_PREFIX: Final = b'{"client_blocks":'
_BOUNDARY_DIGITS: Final = 4
_HEXADECIMAL: Final = 16

Digest = str
ChunkReader = Callable[[Digest], bytes | None]


@unique
class NoBundle(Enum):
    """Sentinel: why chunks cannot be assembled to a bundle."""

    MISSING_CHUNK = 'a chunk is missing'
    WRONG_DIGEST = 'bytes do not match their digest'
    NOT_A_BUNDLE = 'the chunks are no valid bundle'


class ChunkNode(msgspec.Struct, frozen=True):
    """An inner node of the tree of chunks."""

    level: int
    """Level in the tree; zero if its children are leaves."""

    below: tuple[Digest, ...]
    """Digests of its children."""


@dataclass(frozen=True, slots=True)
class PackedBundle:
    """A bundle as it is stored and sent."""

    digest: Digest
    """Digest of the root, which identifies the bundle."""

    chunks: Mapping[Digest, bytes]
    """All nodes and leaves by digest."""


def digest_of(payload: bytes) -> Digest:
    """Return the digest of bytes in hexadecimal."""
    return hashlib.sha256(payload).hexdigest()


def pack_bundle(bundle: Bundle) -> PackedBundle:
    """Split a bundle into chunks; equal bundles have equal digests."""
    chunks: dict[Digest, bytes] = {}
    below = [_add_chunk(chunks, payload) for payload in _leaf_payloads(bundle)]
    level = 0
    while True:
        nodes = [
            _add_chunk(
                chunks, msgspec.json.encode(ChunkNode(level, tuple(run)))
            )
            for run in _digest_runs(below)
        ]
        if len(nodes) == 1:
            return PackedBundle(nodes[0], chunks)
        below = nodes
        level += 1


def read_node(payload: bytes) -> ChunkNode | NoBundle:
    """Decode a node of the tree."""
    try:
        return msgspec.json.decode(payload, type=ChunkNode)
    except (msgspec.ValidationError, msgspec.DecodeError):
        return NoBundle.NOT_A_BUNDLE


def unpack_bundle(digest: Digest, read: ChunkReader) -> Bundle | NoBundle:
    """Assemble a bundle; each chunk is verified against its digest."""
    parts = _BundleParts()
    fault = _read_subtree(digest, read, parts)
    if fault:
        return fault
    bundle = validate_document(parts.document)
    if isinstance(bundle, BundleFaults):
        return NoBundle.NOT_A_BUNDLE
    zones = {zone.name for zone in bundle.zones}
    if not parts.zones <= zones:
        return NoBundle.NOT_A_BUNDLE
    return replace(bundle, client_blocks=tuple(parts.blocks))


@dataclass(slots=True)
class _BundleParts:
    document: dict[str, Any] = field(default_factory=dict)
    blocks: list[ClientBlock] = field(default_factory=list)
    zones: set[str] = field(default_factory=set)


class _BlockLeaf(msgspec.Struct, forbid_unknown_fields=True):
    client_blocks: list[ClientBlock]


def _read_subtree(
    digest: Digest,
    read: ChunkReader,
    parts: _BundleParts,
) -> NoBundle | None:
    payload = _read_verified(digest, read)
    if isinstance(payload, NoBundle):
        return payload
    node = read_node(payload)
    if isinstance(node, NoBundle):
        return node
    for below in node.below:
        reader = _read_subtree if node.level else _read_leaf
        fault = reader(below, read, parts)
        if fault:
            return fault
    return None


def _read_leaf(
    digest: Digest,
    read: ChunkReader,
    parts: _BundleParts,
) -> NoBundle | None:
    payload = _read_verified(digest, read)
    if isinstance(payload, NoBundle):
        return payload
    # Most of the data is blocks, so they are not validated field by field.
    if payload.startswith(_BLOCK_LEAF_PREFIX):
        valid = _append_blocks(parts, payload)
    else:
        valid = _merge_document(parts.document, payload)
    return None if valid else NoBundle.NOT_A_BUNDLE


def _append_blocks(parts: _BundleParts, payload: bytes) -> bool:
    try:
        leaf = msgspec.json.decode(payload, type=_BlockLeaf)
        for block in leaf.client_blocks:
            block_range(block.block)
    except (msgspec.DecodeError, ValueError):
        return False
    parts.blocks.extend(leaf.client_blocks)
    parts.zones.update(block.zone for block in leaf.client_blocks)
    return True


def _read_verified(digest: Digest, read: ChunkReader) -> bytes | NoBundle:
    payload = read(digest)
    if payload is None:
        return NoBundle.MISSING_CHUNK
    if digest_of(payload) != digest:
        return NoBundle.WRONG_DIGEST
    return payload


def _merge_document(document: dict[str, Any], payload: bytes) -> bool:
    try:
        part = msgspec.json.decode(payload, type=dict[str, Any])
    except (msgspec.ValidationError, msgspec.DecodeError):
        return False
    for key, content in part.items():
        if isinstance(content, list):
            document.setdefault(key, []).extend(content)
        else:
            document[key] = content
    return True


def _add_chunk(chunks: dict[Digest, bytes], payload: bytes) -> Digest:
    digest = digest_of(payload)
    chunks[digest] = payload
    return digest


def _leaf_payloads(bundle: Bundle) -> Iterator[bytes]:
    base = replace(bundle, services=(), client_blocks=())
    yield msgspec.json.encode(base, order='sorted')
    for service in sorted(bundle.services, key=lambda item: item.name):
        yield msgspec.json.encode({'services': [service]}, order='sorted')
    for blocks in _block_runs(bundle.client_blocks):
        yield msgspec.json.encode({'client_blocks': blocks}, order='sorted')


def _digest_runs(digests: Iterable[Digest]) -> Iterator[list[Digest]]:
    run: list[Digest] = []
    for digest in digests:
        run.append(digest)
        boundary_bits = (
            int(digest[:_BOUNDARY_DIGITS], base=_HEXADECIMAL)
            & _NODE_BOUNDARY_MASK
        )
        # Runs of one digest would make each level as long as the one below.
        if len(run) >= _MAX_DIGESTS_PER_NODE or (
            boundary_bits == 0 and len(run) > 1
        ):
            yield run
            run = []
    if run:
        yield run


def _block_runs(blocks: Iterable[ClientBlock]) -> Iterator[list[ClientBlock]]:
    run: list[ClientBlock] = []
    for block in sorted(blocks, key=lambda item: item.block):
        run.append(block)
        boundary_bits = (
            xxhash.xxh32_intdigest(block.block.encode()) & _BLOCK_BOUNDARY_MASK
        )
        if boundary_bits == 0 or len(run) >= _MAX_BLOCKS_PER_CHUNK:
            yield run
            run = []
    if run:
        yield run
