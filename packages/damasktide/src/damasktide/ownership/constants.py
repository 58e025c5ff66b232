"""Times of the ownership protocol, in seconds."""

GRANT_TTL_S = 0.5
RENEWAL_LEASE_TTL_S = 0.6
RENEW_INTERVAL_S = 0.15
SUSPECT_AFTER_S = 0.4
HOLD_LIMIT_S = 900.0

# Table news older than this makes an instance ask the confirmers as well.
NEWS_STALE_AFTER_S = 0.3

# Clocks of two machines may run apart by this factor, so each wait is stretched by it.
CLOCK_RATE_FACTOR = 1.01

# A change of the map is proposed only with table news younger than this. A slow table answers
# later than NEWS_STALE_AFTER_S, and changes have to be possible all the same.
PROPOSE_NEWS_MAX_AGE_S = 1.5

# Events ask for a tick ahead of time, but ticks are at least this far apart.
MIN_TICK_GAP_S = 0.01

# A tick for a deadline comes this much later, so that the deadline has passed for certain.
CLOCK_STEP_S = 0.001

# Two ticks this far apart show that the process was paused: a shorter pause leaves time for a
# response before the suspicion time is over.
PAUSED_AFTER_S = SUSPECT_AFTER_S - RENEW_INTERVAL_S

# A backend server that does not check grants may overrun a deadline by this much.
UNCHECKED_MARGIN_S = 0.1

MAX_CONFIRMERS_PER_DOMAIN = 5

# Each change of the confirmers leaves a set in the row until it is settled. Instances that
# come and go must not make the row grow without bound.
MAX_CONFIRMER_SETS = 4
