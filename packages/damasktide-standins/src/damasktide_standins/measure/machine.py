"""Machine state and process statistics that are recorded with measurements."""

import os
import sys
from pathlib import Path


def load_average() -> float:
    """Return the load average over the last minute."""
    return os.getloadavg()[0]


def describe_machine() -> dict[str, object]:
    """Return the load average, the number of cores and the Python version."""
    return {
        "load_1_min": round(load_average(), 2),
        "cores": os.cpu_count(),
        "python": sys.version.split()[0],
    }


def processor_s(pid: int) -> float:
    """Return the user and system time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6
