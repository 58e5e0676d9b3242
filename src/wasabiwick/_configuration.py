"""Configuration records: their digest and signature, and the order in which they take effect.

`History` applies the records of the configuration stream. All hosts and the publish command use it,
so that they agree which of two concurrent records took effect.
"""

import hashlib
import typing

import msgspec

from . import _lists
from ._decoding import decode_json
from ._wire import Configuration, ConfigurationCopy, LogRecord

if typing.TYPE_CHECKING:
    from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

SECTIONS = ("customers", "plans", "services", "models")
DIGEST_BITS = 256

Entries = dict[str, dict[str, dict]]


class InvalidRecordError(ValueError):
    """A configuration record is invalid or out of order; every reader skips it."""


class Content:
    """Both lists as plain entries by section and name, with their digest.

    The digest is the sum of the hashes of all entries, so that the cost of updating it depends on
    the number of changed entries and not on the length of the lists.
    """

    __slots__ = ("entries", "total")

    def __init__(self, *, entries: Entries | None = None, total: int = 0) -> None:
        self.entries = entries or {section: {} for section in SECTIONS}
        self.total = total

    @property
    def digest(self) -> str:
        """The digest in hexadecimal."""
        return f"{self.total:064x}"

    def with_changes(self, changes: Entries, removed: typing.Iterable[str]) -> "Content":
        """Return the content with some entries added or replaced and others removed.

        Args:
            changes: Entries to add or replace, by section and name.
            removed: Entries to remove, as ``section/name``.

        Raises:
            InvalidRecordError: If an entry to remove, or a section, does not exist.
        """
        entries = {section: dict(self.entries[section]) for section in SECTIONS}
        total = self.total
        for path in removed:
            section, _, name = path.partition("/")
            if name not in entries.get(section, ()):
                raise InvalidRecordError(f'removed entry "{path}" does not exist')
            total -= _entry_hash(section, name, entries[section].pop(name))
        for section, named in changes.items():
            for name, fields in named.items():
                old = entries[section].get(name)
                if old is not None:
                    total -= _entry_hash(section, name, old)
                total += _entry_hash(section, name, fields)
                entries[section][name] = fields
        return Content(entries=entries, total=total % 2**DIGEST_BITS)


def _entry_hash(section: str, name: str, fields: dict) -> int:
    body = msgspec.json.encode([section, name, fields], order="sorted")
    return int.from_bytes(hashlib.sha256(body).digest())


def content_of(entries: Entries) -> Content:
    """Return the content that consists of these entries."""
    return Content().with_changes(entries, ())


def difference(old: Content, new: Content) -> tuple[Entries, list[str]]:
    """Return the changes that turn one content into the other.

    Returns:
        The entries to add or replace, and the ``section/name`` of those to remove.
    """
    changes: Entries = {}
    removed = []
    for section in SECTIONS:
        before, after = old.entries[section], new.entries[section]
        put = {name: fields for name, fields in after.items() if before.get(name) != fields}
        if put:
            changes[section] = put
        removed.extend(f"{section}/{name}" for name in before if name not in after)
    return changes, sorted(removed)


def make_record(
    *, version: int, replaces: int, author: str, old: Content, new: Content, partial: bool
) -> Configuration:
    """Build the unsigned record that turns the old content into the new one.

    Args:
        version: Version that the record creates.
        replaces: Version that it replaces.
        author: Name of the operator.
        old: Content in force.
        new: Content to publish.
        partial: Whether the record holds only the difference.
    """
    changes, removed = difference(old, new) if partial else (new.entries, [])
    allowances = {key: changes[key] for key in SECTIONS[1:] if changes.get(key)}
    return Configuration(
        version=version,
        replaces=replaces,
        author=author,
        plans=msgspec.json.encode(changes.get("customers", {})).decode(),
        allowances=msgspec.json.encode(allowances).decode(),
        partial=partial,
        removed=tuple(removed),
        digest=new.digest,
    )


def sign(record: Configuration, key_id: str, key: "Ed25519PrivateKey") -> Configuration:
    """Return the record signed with a publisher's private key."""
    unsigned = msgspec.structs.replace(record, key_id=key_id, signature="")
    return msgspec.structs.replace(unsigned, signature=key.sign(_encode(unsigned)).hex())


def verify(record: Configuration, publishers: dict[str, str]) -> None:
    """Check a record's signature; without publishers every record passes.

    Args:
        record: The record.
        publishers: Ed25519 public keys in hexadecimal, by key id.

    Raises:
        InvalidRecordError: If the publisher is not known or the signature does not match.
    """
    if not publishers:
        return
    if record.key_id not in publishers:
        raise InvalidRecordError(f'publisher key "{record.key_id}" is not known')
    # Imported here so that hosts without publishers do not load this large library.
    from cryptography.exceptions import InvalidSignature
    from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey

    key = Ed25519PublicKey.from_public_bytes(bytes.fromhex(publishers[record.key_id]))
    unsigned = msgspec.structs.replace(record, signature="")
    try:
        key.verify(bytes.fromhex(record.signature), _encode(unsigned))
    except (InvalidSignature, ValueError):
        raise InvalidRecordError(f'signature by key "{record.key_id}" does not match') from None


def _encode(record: Configuration) -> bytes:
    return msgspec.json.encode(record)


def decode(data: str) -> Configuration | ConfigurationCopy:
    """Decode a record of the configuration stream.

    Raises:
        InvalidRecordError: If it is neither a configuration nor a copy of one.
    """
    try:
        return decode_json(data, Configuration | ConfigurationCopy)
    except msgspec.MsgspecError as exc:
        raise InvalidRecordError(f"record is malformed: {exc}") from None


def entries_of(record: Configuration) -> Entries:
    """Decode and check the entries that a record adds or replaces.

    Raises:
        InvalidRecordError: If they are not valid entries of the two lists.
    """
    try:
        entries: Entries = {"customers": decode_json(record.plans, dict[str, dict])}
        entries.update(decode_json(record.allowances, dict[str, dict[str, dict]]))
        for section, named in entries.items():
            _lists.check_entries(section, named)
    except (msgspec.MsgspecError, ValueError) as exc:
        raise InvalidRecordError(f"version {record.version} is malformed: {exc}") from None
    return entries


class SkippedRecord:
    """Offset of a record that did not take effect, and the cause."""

    __slots__ = ("offset", "cause")

    def __init__(self, *, offset: int, cause: str) -> None:
        self.offset = offset
        self.cause = cause


class History:
    """The lists in force after the records of the configuration stream that were read so far.

    A record takes effect if it is valid and replaces the version in force at its offset. If records
    expired from the log before they were read, it is unknown which of the later ones took effect:
    these are held back until a copy made by another host is read, and only the records after the
    copy's ``upto`` are then applied.

    Args:
        publishers: Ed25519 public keys in hexadecimal, by key id.
    """

    __slots__ = (
        "publishers",
        "version",
        "offset",
        "upto",
        "content",
        "lists",
        "chain",
        "last_full_record_time",
        "complete",
        "_watched",
        "_effective",
        "_seen",
        "_held",
        "_held_from",
        "_copied",
    )

    def __init__(self, publishers: dict[str, str]) -> None:
        self.publishers = publishers
        self.version = 0
        self.offset = -1  # Offset of the record in force, -1 if it came from a peer.
        self.upto = -1  # Up to this offset, it is known which records took effect.
        self.content = Content()
        self.lists: _lists.Lists | None = None
        self.chain: list[str] = []  # Newest full record, then partial ones after it.
        self.last_full_record_time = 0.0  # Unix seconds; of the newest full record or copy.
        self.complete = True  # False while records before those held back are missing.
        self._watched: set[str] = set()
        self._effective: set[str] = set()
        self._seen = -1  # Last offset read.
        self._held: list[LogRecord] = []
        # Oldest offset in the log when records before those held back were last found missing.
        self._held_from = 0
        self._copied = False  # Whether a copy was read while records were held back.

    @property
    def next_offset(self) -> int:
        """Offset of the record to read next."""
        return max(self.upto, self._seen) + 1

    def watch(self, data: str) -> None:
        """Track whether a record takes effect, so that `took_effect` can report it."""
        self._watched.add(data)

    def took_effect(self, data: str) -> bool:
        """Return whether a watched record is in force, or was at any time since it was watched."""
        return data in self._effective

    def read(self, records: typing.Iterable[LogRecord], *, first: int) -> list[SkippedRecord]:
        """Apply records in the order of their offsets.

        Args:
            records: The records that follow those read before.
            first: Oldest offset that the log still keeps.

        Returns:
            The new records that did not take effect.
        """
        known = self.upto if self.complete else self._seen
        if first > known + 1:
            self.complete = False
            self._copied = False
            self._held = []
            self._held_from = first
        skipped = []
        for record in records:
            self._seen = max(self._seen, record.offset)
            cause = self._read_one(record)
            if cause:
                skipped.append(SkippedRecord(offset=record.offset, cause=cause))
        return skipped

    def _read_one(self, record: LogRecord) -> str:
        try:
            message = decode(record.data)
            if isinstance(message, ConfigurationCopy):
                return self._read_copy(record, message)
            if self.chain and record.data == self.chain[0]:
                self.last_full_record_time = max(self.last_full_record_time, record.time)
            if record.offset <= self.upto:
                return ""
            if not self.complete:
                return self._hold(record)
            self.upto = record.offset
            self._apply(record.data, message)
        except InvalidRecordError as exc:
            if self.complete:
                self.upto = max(self.upto, record.offset)
            return str(exc)
        self.offset = record.offset
        if not message.partial:
            self.last_full_record_time = record.time
        return ""

    def _hold(self, record: LogRecord) -> str:
        if not self._held or record.offset > self._held[-1].offset:
            self._held.append(record)
        return ""

    def apply_held_records(self) -> list[SkippedRecord]:
        """Apply the records that were held back as if no records preceded them.

        Called at the end of the stream if neither the log nor any host has a copy, which means that
        no host was running while the earlier records expired. The first record to take effect is
        then a full one that replaces version 0.
        """
        if self.complete or self.version or self._copied:
            return []
        held, self._held = self._held, []
        self.complete = True
        self.upto = self._held_from - 1
        return self.read(held, first=self._held_from)

    def _read_copy(self, record: LogRecord, copy: ConfigurationCopy) -> str:
        self._copied = True
        self.adopt(copy)
        if copy.version <= self.version:
            self.last_full_record_time = max(self.last_full_record_time, record.time)
        if self.complete:
            self.upto = max(self.upto, record.offset)
        return ""

    def adopt(self, copy: ConfigurationCopy) -> bool:
        """Apply a copy of the records that led to a version, if that is later than the current one.

        Args:
            copy: The records, from the log or from a peer.

        Returns:
            Whether a later version is in force now.

        Raises:
            InvalidRecordError: If a record of the copy is forged, truncated or out of order.
        """
        before = self.version
        if copy.version > self.version:
            self._apply_copy(copy)
        if not self.complete and copy.upto >= self._held_from - 1 and copy.version <= self.version:
            self._apply_held_after(copy)
        elif self.complete and copy.version == self.version > before:
            self.upto = max(self.upto, copy.upto)
        return self.version > before

    def _apply_copy(self, copy: ConfigurationCopy) -> None:
        reached = self._fork()
        for data in copy.records:
            message = decode(data)
            if not isinstance(message, Configuration):
                raise InvalidRecordError("copy contains a record that is not a configuration")
            if message.version <= reached.version:
                continue
            reached._apply(data, message, check_replaces=message.partial)
        if reached.version != copy.version:
            raise InvalidRecordError(
                f"copy of version {copy.version} ends at version {reached.version}"
            )
        self.version = reached.version
        self.content = reached.content
        self.lists = reached.lists
        self.chain = reached.chain
        self.offset = -1

    def _fork(self) -> "History":
        fork = History(self.publishers)
        fork.version = self.version
        fork.content = self.content
        fork.lists = self.lists
        fork.chain = list(self.chain)
        fork._watched = self._watched
        fork._effective = self._effective
        return fork

    def _apply_held_after(self, copy: ConfigurationCopy) -> None:
        held = [record for record in self._held if record.offset > copy.upto]
        self.complete = True
        self.upto = max(self.upto, copy.upto)
        self._held = []
        for record in held:
            self._read_one(record)

    def _apply(self, data: str, message: Configuration, *, check_replaces: bool = True) -> None:
        if check_replaces and message.replaces != self.version:
            raise InvalidRecordError(
                f"version {message.version} by {message.author} replaces {message.replaces}, "
                f"but {self.version} is in force"
            )
        if message.version <= self.version:
            raise InvalidRecordError(f"version {message.version} is not after {self.version}")
        verify(message, self.publishers)
        base = self.content if message.partial else Content()
        entries = entries_of(message)
        content = base.with_changes(entries, message.removed)
        checked = bool(message.digest or self.publishers)
        if checked and content.digest != message.digest:
            raise InvalidRecordError(f"digest of version {message.version} does not match")
        earlier = self.lists if message.partial else None
        self.lists = _lists.apply_changes(earlier, message.version, entries, message.removed)
        self.content = content
        self.version = message.version
        if data in self._watched:
            self._effective.add(data)
        self.chain = [*self.chain, data] if message.partial else [data]

    def copy(self, after: int = 0) -> ConfigurationCopy:
        """Return a copy of the records that lead to the version in force, for a peer or the log.

        Args:
            after: Version that the receiver has, or 0; earlier records are left out if possible.
        """
        records = [data for data in self.chain if decode(data).version > after]
        linked = bool(records) and decode(records[0]).replaces <= after
        return ConfigurationCopy(
            upto=self.upto, version=self.version, records=tuple(records if linked else self.chain)
        )
