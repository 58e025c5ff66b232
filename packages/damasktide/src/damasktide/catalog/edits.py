"""Edits of the configuration that operators can request."""

from collections.abc import Callable
from dataclasses import replace

from damasktide.catalog.configuration import Configuration
from damasktide.runtime.registry import Registry

Edit = Callable[[Configuration, str], Configuration]

edits: Registry[str, Edit] = Registry("edit of the configuration")


@edits.register("lists")
def replace_lists(configuration: Configuration, argument: str) -> Configuration:
    """Replace the lists with those in the object named ``argument``."""
    return replace(configuration, object_name=argument)


@edits.register("domain-out")
def take_domain_out(configuration: Configuration, argument: str) -> Configuration:
    """Take a failure domain out of service."""
    return replace(configuration, domains_out=_add_name(configuration.domains_out, argument))


@edits.register("domain-in")
def bring_domain_in(configuration: Configuration, argument: str) -> Configuration:
    """Bring a failure domain back into service."""
    return replace(configuration, domains_out=_remove_name(configuration.domains_out, argument))


@edits.register("instance-out")
def take_instance_out(configuration: Configuration, argument: str) -> Configuration:
    """Take an instance out of service."""
    return replace(configuration, instances_out=_add_name(configuration.instances_out, argument))


@edits.register("instance-in")
def bring_instance_in(configuration: Configuration, argument: str) -> Configuration:
    """Bring an instance back into service."""
    return replace(
        configuration, instances_out=_remove_name(configuration.instances_out, argument)
    )


def _add_name(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    return tuple(sorted({*names, name}))


def _remove_name(names: tuple[str, ...], name: str) -> tuple[str, ...]:
    return tuple(sorted({*names} - {name}))
