"""Deployments of the users' present sizes, and smaller ones."""

from damasktide_standins.cluster.layout import Layout, ServiceLayout

COCOA_COMMONS = Layout(
    region_by_domain={"ondo-a": "ondo", "ondo-b": "ondo", "oyo-a": "oyo", "oyo-b": "oyo"},
    instances_per_domain=2,
    services=(
        ServiceLayout(
            "batch-desk",
            *(6, "yield", 512, "bookings", "recipes"),
            extra_servers_by_domain={"ondo-a": 1},
        ),
        ServiceLayout("lot-ledger", 2, "hold", 512, "releases", "certificates"),
    ),
    extra_instances_by_domain={"ondo-a": 1},
)

_NILE_DOMAINS = {
    "delta-a": "north-delta",
    "delta-b": "north-delta",
    "sinai-a": "south-sinai",
    "sinai-b": "south-sinai",
}
NILE_AURORAL = Layout(
    region_by_domain=_NILE_DOMAINS,
    instances_per_domain=2,
    services=(
        ServiceLayout(
            "skycast",
            *(6, "yield", 512, "excursions", "forecasts"),
            extra_servers_by_domain={"delta-a": 1},
        ),
        ServiceLayout("nightvault", 2, "yield", 512, "archives", "previews"),
    ),
    extra_instances_by_domain={"delta-a": 1},
)

LAYOUT_BY_USER = {"cocoa-commons": COCOA_COMMONS, "nile-auroral": NILE_AURORAL}

HOP_LAYOUT = Layout(
    region_by_domain={"ondo-a": "ondo"},
    instances_per_domain=1,
    services=(ServiceLayout("batch-desk", 3, "yield", 48, "bookings", "recipes", 1.0),),
)


def control_layout(instances: int) -> Layout:
    """Return a layout of 4 failure domains, 12 backend servers and ``instances`` instances."""
    domains = COCOA_COMMONS.region_by_domain
    per_domain, remaining = divmod(instances, len(domains))
    # The remaining instances are added to the two regions in turn.
    order = ("ondo-a", "oyo-a", "ondo-b", "oyo-b")
    return Layout(
        region_by_domain=domains,
        instances_per_domain=per_domain,
        services=(
            ServiceLayout("batch-desk", 2, "yield", 512, "bookings", "recipes"),
            ServiceLayout("lot-ledger", 1, "yield", 512, "releases", "certificates"),
        ),
        extra_instances_by_domain=dict.fromkeys(order[:remaining], 1),
    )
