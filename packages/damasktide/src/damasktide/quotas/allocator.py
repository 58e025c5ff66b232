"""The allocator's side of the usage caps: hands out tokens and standing rates."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from damasktide.limits.token_bucket import TokenBucket
from damasktide.organisations.organisation import Organisation
from damasktide.quotas.codec import round_down
from damasktide.quotas.limits import QuotaLimits
from damasktide.quotas.messages import (
    REFUSED,
    RESERVED_S,
    DrawItem,
    DrawReply,
    DrawRequest,
    DrawStatus,
    GrantItem,
    name_id,
    silence_s,
    token_life_s,
)

SWEEP_INTERVAL_S = 0.1
# A standing rate is at most this multiple of the demand, so that the loss of an instance with a
# small part of the demand reserves little.
STANDING_HEADROOM = 2.0
# Instances that have not drawn from a new allocator may use the standing rates of the one before
# for this long: it may extend them for LEADER_RENEWAL_LEASE_S after its last renewal.
UNKNOWN_STANDING_S = 25.0
# Tokens for requests to come are handed out only above this part of the depth, so that requests
# that wait are not refused while other instances hold tokens.
KEPT_PART = 0.2
# An organisation is scarce when less than the first part of its tokens is left, until at least the
# second part is.
SCARCE_PART = 0.3
PLENTIFUL_PART = 0.9
# Use at a standing rate beyond this time is not charged at once: the bucket, which does not fill
# above its depth, has lost the refill of that time too.
MAX_CHARGED_S = 2.0


@dataclass(slots=True)
class _Share:
    """What one instance may still use of an organisation's cap."""

    standing: float = 0.0
    demand_per_s: float = 0.0
    held: int = 0
    # Tokens charged for the use of the standing rate while the instance is silent.
    charged: float = 0.0


@dataclass(slots=True)
class _Member:
    name: str
    sequence: int
    heard_at: float
    leased_until: float
    charged_until: float
    share_by_id: dict[int, _Share] = field(default_factory=dict)


class _Account:
    """The tokens of one organisation; the sums run over all instances."""

    def __init__(
        self, now: float, organisation: Organisation, limits: QuotaLimits, is_new: bool
    ) -> None:
        self.organisation = organisation
        self.depth = limits.depth(organisation)
        self._refill_per_s = limits.refill_per_s(organisation)
        self.is_scarce = False
        self.bucket = TokenBucket(self._refill_per_s, self.depth, now)
        if not is_new:
            # What an earlier allocator has handed out is unknown.
            self.bucket.charge(now, self.depth - limits.initial_tokens(organisation))
        self.standing = 0.0
        self.demand_per_s = 0.0
        self.held = 0
        # Sum of the standing rates of the allocator before, and the part that was presented.
        self.former_total = 0.0
        self.presented = 0.0
        self._charged_until = now

    def replace_organisation(
        self, now: float, organisation: Organisation, limits: QuotaLimits
    ) -> None:
        self.organisation = organisation
        self.depth = limits.depth(organisation)
        self._refill_per_s = limits.refill_per_s(organisation)
        self.refit(now)

    def refit(self, now: float) -> None:
        """Fit the bucket to the tokens held by instances, which count as part of the depth."""
        room = max(1.0, self.depth - self.held)
        self.bucket.set_rate(self._refill_per_s, room, now)

    def update_scarcity(self, now: float) -> bool:
        """Return whether the organisation is scarce now."""
        part = PLENTIFUL_PART if self.is_scarce else SCARCE_PART
        self.is_scarce = not self.bucket.has(now, part * max(1.0, self.depth - self.held))
        return self.is_scarce

    def update(self, share: _Share, standing: float, demand_per_s: float, held: int) -> None:
        self.standing += standing - share.standing
        self.demand_per_s += demand_per_s - share.demand_per_s
        self.held += held - share.held
        share.standing, share.demand_per_s, share.held = standing, demand_per_s, held

    def unknown(self) -> float:
        """Return the standing rates, as a fraction, whose holders have not drawn yet."""
        return max(0.0, self.former_total - self.presented)

    def charge_unknown(self, now: float) -> None:
        elapsed = min(now - self._charged_until, MAX_CHARGED_S)
        self._charged_until = now
        self.bucket.charge(now, self.organisation.requests_per_s * self.unknown() * elapsed)


class Allocator:
    """Hands out the tokens of all organisations during one term of a leader.

    For each organisation, the tokens in the bucket and those that instances hold never exceed the
    depth, and the standing rates that instances may use never exceed the cap. Times are seconds
    on a clock that keeps running while the machine is suspended.

    Parameters
    ----------
    now
        Start of the term.
    epoch
        Id of the term, which differs from that of any other term.
    limits
        Bound on the usage in a window.
    organisations
        Organisations with a cap, of which an earlier allocator may have handed out tokens.
    """

    def __init__(
        self,
        now: float,
        epoch: int,
        limits: QuotaLimits,
        organisations: Iterable[Organisation] = (),
    ) -> None:
        self.epoch = epoch
        self._limits = limits
        self._unknown_until = now + UNKNOWN_STANDING_S
        self._account_by_id = {
            name_id(organisation.name): _Account(now, organisation, limits, is_new=False)
            for organisation in organisations
        }
        self._member_by_sender: dict[str, _Member] = {}
        self._instance_names: frozenset[str] = frozenset()
        self._next_sweep_at = now
        # Organisations that were drawn for since the last sweep, or are scarce.
        self._watched_ids = set(self._account_by_id)
        self._scarce: tuple[int, ...] = ()

    def set_organisations(self, now: float, organisations: Iterable[Organisation]) -> None:
        """Replace the organisations with a cap."""
        known, self._account_by_id = self._account_by_id, {}
        for organisation in organisations:
            key = name_id(organisation.name)
            account = known.get(key) or _Account(now, organisation, self._limits, is_new=True)
            account.replace_organisation(now, organisation, self._limits)
            self._account_by_id[key] = account

    def set_instances(self, names: frozenset[str]) -> None:
        """Replace the names of the registered instances."""
        self._instance_names = names

    def draw(self, now: float, sender: str, request: DrawRequest) -> DrawReply:
        """Serve a draw.

        Parameters
        ----------
        now
            Time of arrival.
        sender
            Id of the instance's process, as ``name#boot``.
        request
            The draw.
        """
        self._sweep(now)
        member = self._member(now, sender)
        if request.sequence <= member.sequence:
            return REFUSED
        member.sequence = request.sequence
        member.heard_at = member.charged_until = now
        member.leased_until = now + RESERVED_S
        is_from_other_term = request.epoch not in (0, self.epoch)
        items = tuple(
            self._draw_item(now, account, member, item, is_from_other_term)
            for item in request.items
            if (account := self._account_by_id.get(item.organisation)) is not None
        )
        return DrawReply(DrawStatus.GRANTED, self.epoch, items, self._scarce)

    def extend(self, now: float, sender: str) -> DrawReply:
        """Extend the standing rates of an instance without handing out tokens."""
        self._sweep(now)
        member = self._member_by_sender.get(sender)
        if member is None:
            return REFUSED
        member.leased_until = now + RESERVED_S
        return DrawReply(DrawStatus.EXTENDED, self.epoch)

    def _member(self, now: float, sender: str) -> _Member:
        member = self._member_by_sender.get(sender)
        if member is None:
            name = sender.partition("#")[0]
            for other_sender, other in list(self._member_by_sender.items()):
                if other.name == name:
                    # An earlier process of the same instance, which has ended.
                    self._remove(other_sender)
            member = _Member(name, 0, now, now + RESERVED_S, now)
            self._member_by_sender[sender] = member
        return member

    def _draw_item(
        self,
        now: float,
        account: _Account,
        member: _Member,
        item: DrawItem,
        is_from_other_term: bool,
    ) -> GrantItem:
        self._watched_ids.add(item.organisation)
        share = member.share_by_id.get(item.organisation)
        if share is None:
            share = member.share_by_id[item.organisation] = _Share()
            if is_from_other_term:
                account.former_total = max(account.former_total, item.total)
                account.presented += item.standing
        else:
            self._settle(now, account, share, item)
        kept_standing = item.standing if item.demand_per_s > 0.0 else 0.0
        account.update(share, kept_standing, item.demand_per_s, item.held)
        account.refit(now)
        account.bucket.charge(now, item.offline)
        account.bucket.charge(now, -item.returned)
        granted = account.bucket.take_whole(now, item.waiting)
        wait_s = 0.0
        if granted < item.waiting:
            wait_s = min(self._limits.window_s, account.bucket.seconds_until(now))
        kept = KEPT_PART * account.depth
        ahead = account.bucket.take_whole(now, item.ahead, kept)
        standing = self._standing(now, account, share)
        # The reply may get lost, so the larger one of both rates is reserved.
        account.update(share, max(kept_standing, standing), item.demand_per_s, item.held + ahead)
        total = min(1.0, account.standing + self._unknown(now, account))
        return GrantItem(item.organisation, granted + ahead, standing, total, wait_s)

    def _settle(self, now: float, account: _Account, share: _Share, item: DrawItem) -> None:
        """Charge what the instance used at its standing rate instead of what it might have.

        Tokens of a longer silence are not given back: they are too old to be used now.
        """
        rate = account.organisation.requests_per_s * max(share.standing, item.standing)
        refundable = rate * silence_s(len(self._instance_names))
        correction = min(max(item.used - share.charged, -refundable), MAX_CHARGED_S * rate)
        share.charged = 0.0
        if correction:
            account.bucket.charge(now, correction)

    def _standing(self, now: float, account: _Account, share: _Share) -> float:
        """Return the instance's share of the cap by demand, as far as it is free."""
        if share.demand_per_s <= 0.0:
            return 0.0
        free = 1.0 - self._unknown(now, account) - (account.standing - share.standing)
        rate = account.organisation.requests_per_s
        wanted = min(1.0 / account.demand_per_s, STANDING_HEADROOM / rate) * share.demand_per_s
        return round_down(min(free, wanted))

    def _unknown(self, now: float, account: _Account) -> float:
        return account.unknown() if now < self._unknown_until else 0.0

    def _sweep(self, now: float) -> None:
        """Charge the standing rates that instances out of touch may be using."""
        if now < self._next_sweep_at:
            return
        self._next_sweep_at = now + SWEEP_INTERVAL_S
        self._update_scarcity(now)
        if now < self._unknown_until:
            for account in self._account_by_id.values():
                account.charge_unknown(now)
        count = len(self._instance_names)
        for sender, member in list(self._member_by_sender.items()):
            silent_s = now - member.heard_at
            if silent_s <= silence_s(count):
                continue
            is_registered = not self._instance_names or member.name in self._instance_names
            if now > member.leased_until or not is_registered:
                self._remove(sender)
                continue
            self._charge(now, member, has_tokens=silent_s <= token_life_s(count) + 0.2)

    def _update_scarcity(self, now: float) -> None:
        self._scarce = tuple(
            key
            for key in self._watched_ids
            if (account := self._account_by_id.get(key)) is not None
            and account.update_scarcity(now)
        )
        self._watched_ids = set(self._scarce)

    def _charge(self, now: float, member: _Member, has_tokens: bool) -> None:
        elapsed = min(now - member.charged_until, MAX_CHARGED_S)
        member.charged_until = now
        for key, share in member.share_by_id.items():
            account = self._account_by_id.get(key)
            if account is None:
                continue
            tokens = account.organisation.requests_per_s * share.standing * elapsed
            account.bucket.charge(now, tokens)
            share.charged += tokens
            if share.held and not has_tokens:
                account.update(share, share.standing, share.demand_per_s, 0)
                account.refit(now)

    def _remove(self, sender: str) -> None:
        member = self._member_by_sender.pop(sender)
        for key, share in member.share_by_id.items():
            account = self._account_by_id.get(key)
            if account is not None:
                account.update(share, 0.0, 0.0, 0)
