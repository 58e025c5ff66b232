"""Messages between the instances and the allocator of tokens."""

from dataclasses import dataclass
from enum import IntEnum
from hashlib import blake2b

# Kind of the calls between instances.
QUOTA_KIND = "quota"
# Longest time for which a request waits for a token.
MAX_WAIT_S = 0.15
# Calls per second that the allocator can serve from all instances together.
MAX_DRAWS_PER_S = 250.0
MIN_DRAW_INTERVAL_S = 0.25
# Interval of the draws of an instance that has tokens at hand; they state that it is in touch.
KEEPALIVE_INTERVAL_S = 0.5
# An instance uses its tokens for this long after the draw that confirmed them was sent.
TOKEN_LIFE_S = 1.0
# An instance uses its standing rates for this long after its last draw was sent; the allocator
# reserves them for longer, so that they never count twice.
STANDING_LIFE_S = 9.5
RESERVED_S = 10.0


def draw_interval_s(instance_count: int) -> float:
    """Return the interval of the draws of an instance that needs tokens."""
    return max(MIN_DRAW_INTERVAL_S, instance_count / MAX_DRAWS_PER_S)


def keepalive_interval_s(instance_count: int) -> float:
    """Return the longest interval of the draws of an instance that has standing rates."""
    return max(KEEPALIVE_INTERVAL_S, draw_interval_s(instance_count))


def silence_s(instance_count: int) -> float:
    """Return the time without a draw after which an instance may be using its standing rates."""
    return keepalive_interval_s(instance_count) + 0.5


def token_life_s(instance_count: int) -> float:
    """Return for how long tokens can be used after the draw that confirmed them."""
    return max(TOKEN_LIFE_S, 2.0 * draw_interval_s(instance_count))


def name_id(name: str) -> int:
    """Return the id of an organisation or an instance in messages."""
    return int.from_bytes(blake2b(name.encode(), digest_size=8).digest(), "big")


@dataclass(frozen=True, slots=True)
class DrawItem:
    """What an instance states and requests for one organisation.

    Attributes
    ----------
    organisation
        Id of the organisation.
    demand_per_s
        Recent requests per second; 0 if the instance gives up its standing rate.
    waiting
        Tokens for requests that wait for the reply.
    ahead
        Further tokens, for requests to come.
    held
        Tokens that the instance keeps.
    returned
        Tokens that the instance gives back.
    used
        Requests admitted at the standing rate since the last successful draw.
    offline
        Other requests admitted without a token since then, within the last window.
    standing
        Fraction of the cap that is the instance's standing rate.
    total
        Sum of the standing rates of all instances, as last stated by an allocator.
    """

    organisation: int
    demand_per_s: float = 0.0
    waiting: int = 0
    ahead: int = 0
    held: int = 0
    returned: int = 0
    used: int = 0
    offline: int = 0
    standing: float = 0.0
    total: float = 0.0


@dataclass(frozen=True, slots=True)
class DrawRequest:
    """A draw of one instance.

    Attributes
    ----------
    sequence
        Number of the draw, which increases while the process runs.
    epoch
        Epoch of the allocator that stated the standing rates; 0 for none.
    items
        Items, one for each organisation.
    """

    sequence: int
    epoch: int
    items: tuple[DrawItem, ...]


class DrawStatus(IntEnum):
    """What a reply means.

    Attributes
    ----------
    GRANTED
        The items hold.
    EXTENDED
        The allocator may not hand out tokens, but its standing rates remain in force.
    REFUSED
        The instance is not the allocator, or the draw was outdated.
    """

    GRANTED = 0
    EXTENDED = 1
    REFUSED = 2


@dataclass(frozen=True, slots=True)
class GrantItem:
    """Reply for one organisation.

    Attributes
    ----------
    organisation
        Id of the organisation.
    granted
        Tokens handed out.
    standing
        Standing rate of the instance, as a fraction of the cap.
    total
        Sum of the standing rates of all instances.
    wait_s
        Seconds until the next token is available; 0 if the waiting requests got theirs.
    """

    organisation: int
    granted: int = 0
    standing: float = 0.0
    total: float = 0.0
    wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class DrawReply:
    """Reply to a draw.

    Attributes
    ----------
    status
        What the reply means.
    epoch
        Id of the allocator's term; in a refusal the id of the instance that leads, or 0.
    items
        Items, one for each organisation that the allocator knows.
    scarce
        Ids of all organisations of which few tokens are left, drawn for or not.
    """

    status: DrawStatus
    epoch: int = 0
    items: tuple[GrantItem, ...] = ()
    scarce: tuple[int, ...] = ()


REFUSED = DrawReply(DrawStatus.REFUSED)
