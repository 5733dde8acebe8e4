"""Cache of bundle chunks, filled from other instances or from the store."""

from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from typing import Final

from worksrail.core.bundle import (
    Bundle,
    NoBundle,
    digest_of,
    read_node,
    unpack_bundle,
)

_MAX_BUNDLES: Final = 3

ChunkSource = Callable[[str], Awaitable[bytes | None]]


@dataclass(slots=True)
class ChunkCache:
    """The chunks of the last few bundles.

    After a change of configuration only missing chunks are fetched.
    """

    bundles: dict[str, list[str]] = field(default_factory=dict)
    """Digests of the chunks of each bundle, oldest bundle first."""

    chunks: dict[str, bytes] = field(default_factory=dict)
    """Chunks by digest."""

    fetched: int = 0
    """Number of chunks fetched so far."""

    fetched_bytes: int = 0
    """Total size of the chunks fetched so far."""

    def read(self, digest: str) -> bytes | None:
        """Return a chunk, or None if it is not cached."""
        return self.chunks.get(digest)

    async def fetch(
        self,
        digest: str,
        sources: list[ChunkSource],
    ) -> Bundle | NoBundle:
        """Fetch the missing chunks of a bundle and assemble it."""
        digests: list[str] = []
        fault = await self._fetch_subtree(digest, sources, digests)
        if fault:
            return fault
        bundle = unpack_bundle(digest, self.read)
        if isinstance(bundle, Bundle):
            self._add_bundle(digest, digests)
        return bundle

    async def _fetch_subtree(
        self,
        digest: str,
        sources: list[ChunkSource],
        digests: list[str],
    ) -> NoBundle | None:
        payload = await self._chunk(digest, sources)
        if payload is None:
            return NoBundle.MISSING_CHUNK
        digests.append(digest)
        node = read_node(payload)
        if isinstance(node, NoBundle):
            return node
        if node.level:
            for below in node.below:
                fault = await self._fetch_subtree(below, sources, digests)
                if fault:
                    return fault
            return None
        digests.extend(node.below)
        payloads = [await self._chunk(leaf, sources) for leaf in node.below]
        return NoBundle.MISSING_CHUNK if None in payloads else None

    async def _chunk(
        self,
        digest: str,
        sources: list[ChunkSource],
    ) -> bytes | None:
        payload = self.chunks.get(digest)
        if payload is not None:
            return payload
        for source in sources:
            payload = await source(digest)
            if payload is not None and digest_of(payload) == digest:
                self.chunks[digest] = payload
                self.fetched += 1
                self.fetched_bytes += len(payload)
                return payload
        return None

    def _add_bundle(self, digest: str, digests: list[str]) -> None:
        self.bundles.pop(digest, None)
        self.bundles[digest] = digests
        while len(self.bundles) > _MAX_BUNDLES:
            self.bundles.pop(next(iter(self.bundles)))
        referenced = set(self._referenced_chunks())
        for chunk in self.chunks.keys() - referenced:
            self.chunks.pop(chunk)

    def _referenced_chunks(self) -> Iterator[str]:
        for digests in self.bundles.values():
            yield from digests
