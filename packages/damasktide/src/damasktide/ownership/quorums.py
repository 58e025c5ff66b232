"""Quorums of confirmers and the sets of acknowledgements that block them.

Each isolation policy defines which confirmations are a quorum. Acknowledgements of a newer
version block an older one if and only if the remaining confirmers are not a quorum.
"""

from collections.abc import Set
from typing import Protocol

from damasktide.ownership.shard_map import ConfirmerSet
from damasktide.runtime.registry import Registry


class QuorumRule(Protocol):
    """Decides whether confirmations are a quorum for a failure domain."""

    def __call__(self, confirmers: ConfirmerSet, domain: str, confirmed: Set[str]) -> bool:
        """Return whether the confirmers in ``confirmed`` are a quorum for ``domain``."""


quorum_rules: Registry[str, QuorumRule] = Registry("isolation policy")


def has_quorum(policy: str, confirmers: ConfirmerSet, domain: str, confirmed: Set[str]) -> bool:
    """Return whether ``confirmed`` is a quorum under the isolation policy ``policy``."""
    return quorum_rules.get(policy)(confirmers, domain, confirmed)


def is_blocked(policy: str, confirmers: ConfirmerSet, domain: str, acked: Set[str]) -> bool:
    """Return whether the confirmers outside ``acked`` cannot form a quorum."""
    remaining = confirmers.all_ids() - acked
    return not has_quorum(policy, confirmers, domain, remaining)


@quorum_rules.register("yield")
def _yield_quorum(confirmers: ConfirmerSet, domain: str, confirmed: Set[str]) -> bool:
    """Require a majority of the domain and its witness together, with one of the witness."""
    witness_ids = confirmers.witness_ids(domain)
    both = confirmers.own_ids(domain) | witness_ids
    return _is_majority(both, confirmed) and bool(witness_ids & confirmed)


@quorum_rules.register("hold")
def _hold_quorum(confirmers: ConfirmerSet, domain: str, confirmed: Set[str]) -> bool:
    """Require a majority of the domain itself, or of the domain and its witness together."""
    own_ids = confirmers.own_ids(domain)
    both = own_ids | confirmers.witness_ids(domain)
    return _is_majority(own_ids, confirmed) or _is_majority(both, confirmed)


def _is_majority(members: Set[str], confirmed: Set[str]) -> bool:
    return len(members & confirmed) * 2 > len(members)
