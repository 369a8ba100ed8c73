"""Records of the access log: which requests are sampled, the form of a line, and the limits."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from zlib import crc32

import orjson

from ironrail.access_log.pseudonyms import Pseudonymizer

FORMAT_VERSION = 1
# Some seconds of a router's full load, 8 MB.
MAX_BUFFERED_RECORDS = 20_000
NUM_CHECKSUMS = 2**32
DECIMALS_COUNT = 6  # of times in a line: microseconds


class RequestOutcome(IntEnum):
    """How a request ended, as the HTTP status that log readers know."""

    SERVED = 200
    CLIENT_DISCONNECTED = 499
    FAILED = 500
    REJECTED = 503


@dataclass(slots=True)
class AccessRecord:
    """One request. Holds nothing about its client."""

    started_at: float  # Unix time in seconds
    duration: float  # seconds
    request_class: str
    tenant: str
    key: bytes
    value_bytes: int
    is_write: bool
    outcome: RequestOutcome
    idempotency_key: str
    expected_seconds: float  # of work, as its client estimated; 0 where it did not
    is_retry: bool  # by the client


class RecordBuffer:
    """Samples requests and buffers their records until they are written.

    Attributes:
        dropped: Records that were not buffered, because the buffer was full.
    """

    def __init__(
        self,
        sample_ratio: float,
        secret: bytes,
        hash_keys: bool,
        max_records: int = MAX_BUFFERED_RECORDS,
    ) -> None:
        """Sample `sample_ratio` of the requests; hash keys with `secret` if `hash_keys`."""
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
                "at": round(record.started_at, DECIMALS_COUNT),
                "class": record.request_class,
                "title": record.tenant,
                "key": self._pseudonymize(key) if self._hash_keys else key,
                "size": record.value_bytes,
                "write": record.is_write,
                "status": int(record.outcome),
                "took": round(record.duration, DECIMALS_COUNT),
                "k": self._pseudonymize(record.idempotency_key),
                "hint": round(record.expected_seconds, DECIMALS_COUNT),
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
        """Return whether `size` more bytes belong into a new file."""
        return self.file_bytes > 0 and self.file_bytes + size > self.max_bytes

    def add(self, size: int) -> None:
        """Record that `size` bytes are written to the file."""
        self.file_bytes += size
