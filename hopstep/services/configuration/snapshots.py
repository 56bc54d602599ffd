"""Snapshots of the configuration in the key-value store.

A snapshot's manifest is written after all of its chunks, so a readable manifest belongs to a
complete snapshot. Chunk keys contain the digest of the content: concurrent writers, even of
different releases, never mix their chunks.
"""

from __future__ import annotations

import hashlib

import cbor2
import msgspec

from hopstep.domain.configuration.decoding import convert_document
from hopstep.domain.configuration.document import AcceptedConfiguration
from hopstep.domain.configuration.encoding import decode_snapshot, encode, load_document
from hopstep.domain.store_position import ABSENT
from hopstep.exceptions import ErrorCode, StoreConflictError, StoreError, ValidationError
from hopstep.ports.key_value_store import KeyValueStorePort, StoredValue

MANIFESTS_PREFIX = "configuration/snapshots/"
CHUNKS_PREFIX = "configuration/snapshot_chunks/"
CHUNK_BYTES = 512 * 1024
SNAPSHOT_INTERVAL = 256
"""Number of changes between two snapshots."""

KEPT_SNAPSHOTS = 2
REVISION_DIGITS = 12
DIGEST_BYTES = 16


class SnapshotManifest(msgspec.Struct, frozen=True):
    """Description of a stored snapshot.

    Attributes:
        revision: Revision of the configuration.
        chunks: Number of chunks.
        digest: Hex BLAKE2b of the content.
    """

    revision: int
    chunks: int
    digest: str


def revision_text(revision: int) -> str:
    """Return a revision as text of fixed width, so that texts sort as numbers."""
    return f"{revision:0{REVISION_DIGITS}d}"


class ConfigurationSnapshots:
    """Reads and writes snapshots; every method raises ``StoreError`` when the store is down."""

    def __init__(self, store: KeyValueStorePort, interval: int = SNAPSHOT_INTERVAL) -> None:
        """Use ``store``, with a snapshot every ``interval`` changes."""
        self._store = store
        self.interval = interval

    async def manifests(self) -> list[SnapshotManifest]:
        """Return the manifests, oldest first."""
        values = await self._store.list(MANIFESTS_PREFIX)
        return [_decode_manifest(value) for value in values]

    async def read(self, manifest: SnapshotManifest) -> AcceptedConfiguration:
        """Return a snapshot.

        Raises:
            StoreError: When the store is down, or chunks are missing or don't match the manifest.
        """
        content = bytearray()
        for index in range(manifest.chunks):
            chunk = await self._store.get(_chunk_key(manifest, index))
            if chunk is None:
                raise _incomplete(manifest)
            content += chunk.value
        if _digest(bytes(content)) != manifest.digest:
            raise _incomplete(manifest)
        return decode_snapshot(bytes(content))

    async def write_if_due(self, accepted: AcceptedConfiguration) -> int | None:
        """Write a snapshot when enough changes came since the newest one.

        Returns:
            Revision of the oldest kept snapshot, up to which changes may be trimmed (0 for
            none); None when no snapshot was due.
        """
        manifests = await self.manifests()
        newest = manifests[-1].revision if manifests else 0
        if accepted.revision - newest < self.interval:
            return None
        manifests.append(await self._write(accepted))
        for manifest in manifests[:-KEPT_SNAPSHOTS]:
            await self._delete(manifest)
        kept = manifests[-KEPT_SNAPSHOTS:]
        return kept[0].revision if len(kept) == KEPT_SNAPSHOTS else 0

    async def _write(self, accepted: AcceptedConfiguration) -> SnapshotManifest:
        """Write the chunks, then the manifest."""
        content = encode(accepted)
        chunks = [
            content[start : start + CHUNK_BYTES] for start in range(0, len(content), CHUNK_BYTES)
        ]
        manifest = SnapshotManifest(accepted.revision, len(chunks), _digest(content))
        for index, chunk in enumerate(chunks):
            await self._create(_chunk_key(manifest, index), chunk)
        await self._create(_manifest_key(manifest), cbor2.dumps(msgspec.to_builtins(manifest)))
        return manifest

    async def _create(self, key: str, value: bytes) -> None:
        """Create a key; one that another writer created has the same content."""
        try:
            await self._store.compare_and_swap(key, ABSENT, value)
        except StoreConflictError:
            return

    async def _delete(self, manifest: SnapshotManifest) -> None:
        """Delete a manifest, then its chunks."""
        keys = [_manifest_key(manifest)]
        keys.extend(_chunk_key(manifest, index) for index in range(manifest.chunks))
        for key in keys:
            value = await self._store.get(key)
            if value is not None:
                await self._delete_value(value)

    async def _delete_value(self, value: StoredValue) -> None:
        """Delete a value, unless another writer has deleted or replaced it."""
        try:
            await self._store.delete(value.key, value.version)
        except StoreConflictError:
            return


def _manifest_key(manifest: SnapshotManifest) -> str:
    """Return the key of a manifest."""
    return f"{MANIFESTS_PREFIX}{revision_text(manifest.revision)}"


def _chunk_key(manifest: SnapshotManifest, index: int) -> str:
    """Return the key of a chunk."""
    return f"{CHUNKS_PREFIX}{revision_text(manifest.revision)}/{manifest.digest}/{index:04d}"


def _decode_manifest(value: StoredValue) -> SnapshotManifest:
    """Return the manifest decoded from a stored value.

    Raises:
        ValidationError: When it can't be decoded.
    """
    try:
        document = load_document(value.value)
    except ValidationError as error:
        message = f"{value.key}: {error.message}"
        raise ValidationError(ErrorCode.INVALID_CONFIGURATION, message) from error
    return convert_document(document, SnapshotManifest)


def _digest(content: bytes) -> str:
    """Return the digest of a snapshot's content."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def _incomplete(manifest: SnapshotManifest) -> StoreError:
    """Return the error for a snapshot that can't be read completely."""
    return StoreError(
        ErrorCode.STORE_UNAVAILABLE, f"snapshot {manifest.revision} can't be read completely"
    )
