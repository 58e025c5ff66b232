"""Durations, in seconds, and limits of the ownership protocol."""

# A grant is valid for this long after the reading of the backend server's clock that it names.
GRANT_TTL_S = 0.5

# An instance may renew grants for this long after it requested a read of the map row, or
# confirmations of the map version that form a quorum.
RENEWAL_LEASE_TTL_S = 0.6

# Each tick renews the grants; ticks are at most this far apart.
RENEW_INTERVAL_S = 0.15

# The suspicion timeout: a backend server or a failure domain that has not responded for this long
# is presumed lost.
SUSPECT_AFTER_S = 0.4

# A quorum of confirmers can extend a renewal lease only until this long after the last read of
# the map row.
MAX_STORELESS_RENEWAL_S = 900.0

# If the last read of the map row is older than this, an instance also asks the confirmers, whose
# quorum can extend its renewal leases without the store.
MAP_ROW_READ_STALE_AFTER_S = 0.3

# The clock rates of two machines may differ by this factor, so each wait is multiplied by it.
CLOCK_RATE_FACTOR = 1.01

# A change of the map is proposed only if the last read of the map row is younger than this. It
# exceeds MAP_ROW_READ_STALE_AFTER_S, so that changes stay possible while the store is slow.
PROPOSE_MAP_ROW_READ_MAX_AGE_S = 1.5

# Events can bring the next tick forward, but ticks are at least this far apart.
MIN_TICK_GAP_S = 0.01

# A tick that is due for a timeout or for the completion of a move is scheduled this much later, so
# that the time has certainly passed.
TICK_MARGIN_S = 0.001

# If two ticks are further apart than this, the process counts as paused. After a shorter gap, one
# renewal interval of the suspicion timeout is left for a response.
PAUSED_AFTER_S = SUSPECT_AFTER_S - RENEW_INTERVAL_S

# A backend server that does not check grants may exceed a request's deadline by this much.
UNCHECKED_MARGIN_S = 0.1

MAX_CONFIRMERS_PER_DOMAIN = 5

# Each change of the confirmers leaves the older set in the map row until the change is settled.
# The limit keeps the row bounded when instances join and leave repeatedly.
MAX_CONFIRMER_SETS = 4
