"""Reads settings from YAML and reports all findings at once."""

from collections.abc import Mapping
from pathlib import Path

from returns.result import Failure, Result, Success

from damasktide.runtime.documents import Section, load_document
from damasktide.runtime.findings import Finding, SourceLocation
from damasktide.settings.model import (
    Address,
    OperationSettings,
    PlatformSettings,
    ServiceSettings,
    Settings,
)

_MAX_PORT = 65535
_MIN_KEY_BYTES = 16
_MIN_SHARDS = 16
_MAX_SHARDS = 32768

# Requests to backend servers that do not check grants must finish before the grant expires.
_DEFAULT_UNCHECKED_MAX_DEADLINE_S = 0.3


def read_settings_file(path: str) -> Result[Settings, tuple[Finding, ...]]:
    """Read the settings file at ``path``."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure((Finding(SourceLocation(path, 1, ""), f"cannot be read: {error}"),))
    return read_settings(text, path)


def read_settings(text: str, file: str) -> Result[Settings, tuple[Finding, ...]]:
    """Read settings from YAML text.

    Returns
    -------
    Result[Settings, tuple[Finding, ...]]
        The settings, or all findings.
    """
    document = load_document(text, file)
    if isinstance(document, Failure):
        return Failure(document.failure())
    findings: list[Finding] = []
    root = Section(document.unwrap(), findings)
    settings = _read_root(root)
    root.report_unknown()
    return Failure(tuple(findings)) if findings else Success(settings)


def _read_root(root: Section) -> Settings:
    region_by_domain = _read_domains(root)
    domain = root.choice("domain", tuple(region_by_domain))
    return Settings(
        instance=root.text("instance"),
        domain=domain,
        region=region_by_domain.get(domain, ""),
        listen=_read_address(root, "listen"),
        gossip_port=root.integer("gossip_port", low=1, high=_MAX_PORT),
        peer_port=root.integer("peer_port", low=1, high=_MAX_PORT),
        peer_key=_read_peer_key(root),
        seeds=_read_addresses(root, "seeds"),
        statsd=_read_optional_address(root, "statsd"),
        log_level=root.choice("log_level", ("DEBUG", "INFO", "WARNING", "ERROR"), "INFO"),
        max_body_bytes=root.integer("max_body_bytes", 1 << 20, low=1, high=1 << 30),
        max_header_bytes=root.integer("max_header_bytes", 8192, low=256, high=1 << 20),
        platform=_read_platform(root.section("platform")),
        region_by_domain=region_by_domain,
        service_by_name={
            name: _read_service(name, section) for name, section in root.sections("services")
        },
    )


def _read_domains(root: Section) -> Mapping[str, str]:
    section = root.section("domains")
    return {name: section.text(name) for name in section.field_names()}


def _read_peer_key(root: Section) -> bytes:
    key = root.text("peer_key").encode()
    if len(key) < _MIN_KEY_BYTES:
        root.report(root.location_of("peer_key"), f"expected at least {_MIN_KEY_BYTES} bytes")
    return key


def _read_platform(section: Section) -> PlatformSettings:
    platform = PlatformSettings(
        table_url=section.text("table_url").rstrip("/"),
        object_url=section.text("object_url").rstrip("/"),
        live_list_url=section.text("live_list_url").rstrip("/"),
    )
    section.report_unknown()
    return platform


def _read_service(name: str, section: Section) -> ServiceSettings:
    grants_checked = section.choice("grants", ("checked", "unchecked"), "checked") == "checked"
    default_max_deadline_s = 0.0 if grants_checked else _DEFAULT_UNCHECKED_MAX_DEADLINE_S
    max_deadline_s = section.number("max_deadline_ms", default_max_deadline_s * 1000) / 1000
    service = ServiceSettings(
        name=name,
        shards=section.integer("shards", low=_MIN_SHARDS, high=_MAX_SHARDS),
        on_isolation=section.choice("on_isolation", ("yield", "hold"), "yield"),
        grants_checked=grants_checked,
        max_deadline_s=max_deadline_s or None,
        operation_by_name={
            operation: _read_operation(operation_section)
            for operation, operation_section in section.sections("operations")
        },
    )
    section.report_unknown()
    return service


def _read_operation(section: Section) -> OperationSettings:
    idempotent = section.choice("idempotent", ("by_method", "true", "false"), "by_method")
    operation = OperationSettings(
        keyed=section.flag("keyed", False),
        idempotent=None if idempotent == "by_method" else idempotent == "true",
    )
    section.report_unknown()
    return operation


def _read_address(root: Section, key: str) -> Address:
    return _parse_address(root, key, root.text(key), root.location_of(key))


def _read_optional_address(root: Section, key: str) -> Address | None:
    text = root.text(key, "")
    return _parse_address(root, key, text, root.location_of(key)) if text else None


def _read_addresses(root: Section, key: str) -> tuple[Address, ...]:
    return tuple(
        _parse_address(root, key, node.value, node.location) for node in root.text_nodes(key)
    )


def _parse_address(root: Section, key: str, text: str, location: SourceLocation) -> Address:
    host, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or not 0 < int(port) <= _MAX_PORT:
        if text:
            root.report(location, "expected HOST:PORT")
        return Address("", 0)
    return Address(host, int(port))
