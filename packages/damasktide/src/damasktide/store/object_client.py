"""Client of the object store, whose objects are immutable and named by their SHA-256."""

import hashlib

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from damasktide.store.endpoints import StoreEndpoints
from damasktide.store.rows import StoreError, StoreErrorKind
from damasktide.store.transport import HttpTransport


def object_name(data: bytes) -> str:
    """Return the name of an object: the SHA-256 of its content in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


class ObjectClient:
    """Stores and fetches objects over S3's PUT and GET.

    Parameters
    ----------
    endpoints
        Addresses of the store.
    """

    def __init__(self, endpoints: StoreEndpoints) -> None:
        self._bucket = endpoints.bucket
        self._transport = HttpTransport(endpoints.object_url, endpoints.timeout_s)

    def put(self, name: str, data: bytes) -> Result[str, StoreError]:
        """Store an object; idempotent, because the name is the hash of the content."""
        headers = {"Content-Type": "application/octet-stream"}
        result = self._transport.call("PUT", self._path(name), data, headers)
        if not is_successful(result):
            return _failure(StoreErrorKind.UNAVAILABLE, result.failure().detail)
        status = result.unwrap().status
        if status == 200:
            return Success(name)
        kind = StoreErrorKind.UNAVAILABLE if status >= 500 else StoreErrorKind.REJECTED
        return _failure(kind, f"the object store responded {status} to PUT of {name}")

    def get(self, name: str) -> Result[bytes, StoreError]:
        """Fetch an object and check its content against its name."""
        result = self._transport.call("GET", self._path(name), None, {})
        if not is_successful(result):
            return _failure(StoreErrorKind.UNAVAILABLE, result.failure().detail)
        response = result.unwrap()
        if response.status == 404:
            return _failure(StoreErrorKind.NOT_FOUND, f"no object {name}")
        if response.status != 200:
            detail = f"the object store responded {response.status} to GET of {name}"
            return _failure(StoreErrorKind.UNAVAILABLE, detail)
        if object_name(response.body) != name:
            return _failure(StoreErrorKind.CORRUPT, f"object {name} has other content")
        return Success(response.body)

    def close(self) -> None:
        """Close all connections."""
        self._transport.close()

    def _path(self, name: str) -> str:
        return f"/{self._bucket}/{name}"


def _failure(kind: StoreErrorKind, detail: str) -> Failure[StoreError]:
    return Failure(StoreError(kind, detail))
