"""What instances tell each other of the load of targets."""

from dataclasses import dataclass
from zlib import crc32

from damasktide.dispatch.load_estimate import LoadReport


@dataclass(frozen=True, slots=True)
class PeerReport:
    """A target's report with its age.

    Attributes
    ----------
    incarnation
        Hash of the target's id and start, see :func:`incarnation_hash`.
    report
        The report.
    age_s
        Time since the target made it, in seconds.
    """

    incarnation: int
    report: LoadReport
    age_s: float


def incarnation_hash(incarnation: tuple[str, int]) -> int:
    """Return the number by which messages name one life of a target.

    Of 700 targets two have the same number in one of 17,000 deployments; the load of one would
    then be taken for that of the other.
    """
    return crc32(f"{incarnation[0]}/{incarnation[1]}".encode())
