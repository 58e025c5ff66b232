"""The accepted configuration and the encoding of its row."""

import json
from dataclasses import dataclass

CONFIGURATION_KEY = "configuration"


@dataclass(frozen=True, slots=True)
class Configuration:
    """An accepted change, with the complete state after it.

    Attributes
    ----------
    version
        Version that the change created; 0 before the first change.
    author
        Author of the change.
    change_id
        Id of the change.
    based_on
        Version that the change is based on.
    object_name
        SHA-256 of the canonical JSON of the catalog; empty until lists have been applied.
    domains_out, instances_out
        Failure domains and instances out of service, sorted.
    """

    version: int
    author: str
    change_id: str
    based_on: int
    object_name: str
    domains_out: tuple[str, ...] = ()
    instances_out: tuple[str, ...] = ()


NO_CONFIGURATION = Configuration(0, "", "", 0, "")


def encode_configuration(configuration: Configuration) -> str:
    """Encode the body of the row, without the version, which is ``based_on + 1``."""
    content = {
        "author": configuration.author,
        "change_id": configuration.change_id,
        "based_on": configuration.based_on,
        "object_name": configuration.object_name,
        "domains_out": configuration.domains_out,
        "instances_out": configuration.instances_out,
    }
    return json.dumps(content, sort_keys=True)


def decode_configuration(version: int, body: str) -> Configuration:
    """Decode the row ``configuration``; version 0 denotes an absent row.

    Raises
    ------
    ValueError
        If the body is malformed or belongs to another version.
    """
    if version == 0:
        return NO_CONFIGURATION
    try:
        content = json.loads(body)
        configuration = Configuration(
            version,
            content["author"],
            content["change_id"],
            content["based_on"],
            content["object_name"],
            tuple(content["domains_out"]),
            tuple(content["instances_out"]),
        )
    except (KeyError, TypeError) as error:
        raise ValueError(f"the configuration could not be decoded: {error!r}") from error
    if configuration.based_on != version - 1:
        raise ValueError(f"version {version} claims to be based on {configuration.based_on}")
    return configuration
