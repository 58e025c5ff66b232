"""Durations, in seconds, and limits of the ownership protocol."""

GRANT_TTL_S = 0.5
RENEWAL_LEASE_TTL_S = 0.6
RENEW_INTERVAL_S = 0.15
SUSPECT_AFTER_S = 0.4
HOLD_LIMIT_S = 900.0

# If the last read of the map row is older than this, an instance asks the confirmers as well.
MAP_ROW_READ_STALE_AFTER_S = 0.3

# The clock rates of two machines may differ by this factor, so each wait is extended by it.
CLOCK_RATE_FACTOR = 1.01

# A change of the map is proposed only if the last read of the map row is younger than this. It
# exceeds MAP_ROW_READ_STALE_AFTER_S, so that changes stay possible while the store is slow.
PROPOSE_MAP_ROW_READ_MAX_AGE_S = 1.5

# Events can bring the next tick forward, but ticks are at least this far apart.
MIN_TICK_GAP_S = 0.01

# A tick for a deadline is scheduled this much later, so that the deadline has certainly passed.
DEADLINE_MARGIN_S = 0.001

# If two ticks are further apart than this, the process counts as paused. A shorter pause leaves
# time for a response before the suspicion timeout.
PAUSED_AFTER_S = SUSPECT_AFTER_S - RENEW_INTERVAL_S

# A backend server that does not check grants may exceed a request's deadline by this much.
UNCHECKED_MARGIN_S = 0.1

MAX_CONFIRMERS_PER_DOMAIN = 5

# Each change of the confirmers leaves the older set in the map row until the change is settled.
# The limit keeps the row bounded when instances join and leave repeatedly.
MAX_CONFIRMER_SETS = 4
