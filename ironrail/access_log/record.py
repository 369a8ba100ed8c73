"""Records of the access log: sampling, line format, and size limits."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from zlib import crc32

import orjson

from ironrail.access_log.pseudonyms import Pseudonymizer

FORMAT_VERSION = 1
# A few seconds at a router's full load; takes 8 MB.
MAX_BUFFERED_RECORDS = 20_000
NUM_CHECKSUMS = 2**32
NUM_DECIMALS = 6  # of times in a line, which are rounded to microseconds


class RequestOutcome(IntEnum):
    """How a request ended, as the HTTP status that log tools expect."""

    SERVED = 200
    CLIENT_DISCONNECTED = 499
    FAILED = 500
    REJECTED = 503


@dataclass(slots=True)
class AccessRecord:
    """One completed request, without information about its client."""

    started_at: float  # Unix time in seconds
    duration: float  # seconds
    request_class: str
    tenant: str
    key: bytes
    value_bytes: int
    is_write: bool
    outcome: RequestOutcome
    idempotency_key: str
    expected_seconds: float  # of work, as estimated by the client; 0 without an estimate
    is_retry: bool  # whether the client marked it as a retry


class RecordBuffer:
    """Samples requests and buffers their records until they are written.

    Attributes:
        dropped: Number of records that were dropped because the buffer was full.
    """

    def __init__(
        self,
        sample_ratio: float,
        secret: bytes,
        hash_keys: bool,
        max_records: int = MAX_BUFFERED_RECORDS,
    ) -> None:
        """Sample this ratio of the requests; hash cache keys with `secret` if `hash_keys`."""
        self._checksum_limit = round(sample_ratio * NUM_CHECKSUMS)
        self._pseudonymize = Pseudonymizer(secret)
        self._hash_keys = hash_keys
        self._max_records = max_records
        self._records: list[AccessRecord] = []
        self.dropped = 0

    def samples(self, name: bytes) -> bool:
        """Return whether the request with this id or idempotency key is sampled.

        All attempts with one idempotency key are sampled together.
        """
        return crc32(name) < self._checksum_limit

    def add(self, record: AccessRecord) -> None:
        """Buffer the record of a completed request, or drop it if the buffer is full."""
        if len(self._records) < self._max_records:
            self._records.append(record)
        else:
            self.dropped += 1

    def take(self) -> list[AccessRecord]:
        """Remove and return all buffered records."""
        taken = self._records
        self._records = []
        return taken

    def encode(self, records: list[AccessRecord]) -> bytes:
        """Return the lines of these records; safe to call in another thread."""
        return b"".join(self._encode_record(record) for record in records)

    def _encode_record(self, record: AccessRecord) -> bytes:
        key = record.key.decode(errors="replace")
        return orjson.dumps(
            {
                "ironrail": FORMAT_VERSION,
                "at": round(record.started_at, NUM_DECIMALS),
                "class": record.request_class,
                "title": record.tenant,
                "key": self._pseudonymize(key) if self._hash_keys else key,
                "size": record.value_bytes,
                "write": record.is_write,
                "status": int(record.outcome),
                "took": round(record.duration, NUM_DECIMALS),
                "k": self._pseudonymize(record.idempotency_key),
                "hint": round(record.expected_seconds, NUM_DECIMALS),
                "r": int(record.is_retry),
            },
            option=orjson.OPT_APPEND_NEWLINE,
        )


@dataclass(slots=True)
class RotationLimit:
    """Bounds the size of a log file."""

    max_bytes: int
    file_bytes: int = 0

    def must_rotate(self, size: int) -> bool:
        """Return whether `size` more bytes need a new file."""
        return self.file_bytes > 0 and self.file_bytes + size > self.max_bytes

    def add(self, size: int) -> None:
        """Record that `size` bytes are written to the file."""
        self.file_bytes += size
