"""Samples of the published interfaces: the APIs, the settings files and the command line."""

from __future__ import annotations

import json
from typing import Any

import click
import msgspec
from google.protobuf import text_format
from google.protobuf.descriptor_pb2 import FileDescriptorProto
from surface_golden import as_json, golden

from kelpfront import cli
from kelpfront.cli.serve import addresses
from kelpfront.config import agent as agent_settings
from kelpfront.config import placer_example
from kelpfront.config import reader as settings
from kelpfront.failure_detector import config as detector_config
from kelpfront.fronts.rest import discovery
from kelpfront.fronts.rest.openapi import document
from kelpfront.platform import config as platform_config
from kelpfront.platform import endpoint_events as platform_events
from kelpfront.service.placer import PlacerService
from kelpfront.v1 import api_pb2, node_pb2, resources_pb2


def openapi() -> bytes:
    return msgspec.json.encode(document())


def discovery_documents() -> bytes:
    """Return the discovery documents; `/version` is left out because it describes the host."""
    documents = (discovery.core_versions, discovery.groups, discovery.group, discovery.resources)
    return as_json([document() for document in documents])


def descriptors() -> bytes:
    parts = []
    for module in (api_pb2, node_pb2, resources_pb2):
        parts.append(
            text_format.MessageToString(FileDescriptorProto.FromString(module.DESCRIPTOR.serialized_pb))
        )
    return "\n".join(parts).encode()


def sections_and_keys(example: str) -> bytes:
    """Return the sections and keys of a commented example, without its explanations."""
    lines = [line for line in example.splitlines() if line.startswith("[") or _is_key(line)]
    return "\n".join([*lines, ""]).encode()


def _is_key(line: str) -> bool:
    key, equals, _ = line.removeprefix("# ").partition(" =")
    return bool(equals) and key.isidentifier()


def settings_keys() -> bytes:
    return sections_and_keys(placer_example())


def agent_settings_keys() -> bytes:
    return sections_and_keys(agent_settings.agent_example())


def settings_read() -> bytes:
    """Return the settings parsed from the golden keys, with each default given explicitly."""
    return as_json(settings.parse_config(_uncommented("settings-keys.ini"), "golden"))


def agent_settings_read() -> bytes:
    return as_json(agent_settings.parse_agent_config(_uncommented("agent-settings-keys.ini"), "golden"))


def _uncommented(name: str) -> str:
    lines = (line.removeprefix("# ") for line in golden(name).decode().splitlines())
    return "\n".join(line for line in lines if not line.endswith("="))


def platform_config_full_read() -> bytes:
    """Return the configuration of a placer with every key set to a value that is not its default."""
    return as_json(platform_config.parse_config(json.loads(golden("platform-config-full.json"))))


def platform_config_least_read() -> bytes:
    """Return the configuration of a placer with only the required keys, which shows the other defaults."""
    return as_json(platform_config.parse_config(json.loads(golden("platform-config-least.json"))))


def watch_config_full_read() -> bytes:
    return as_json(detector_config.parse_detector_config(json.loads(golden("platform-config-full.json"))))


def directory_read() -> bytes:
    """Return the events parsed from `known`, which has the form of the coordinator's answer."""
    raw = json.loads(golden("platform-config-full.json"))
    return as_json(platform_events.parse_events(raw["known"], platform_config.parse_config(raw)))


def commands() -> bytes:
    return as_json(_command(cli.main, click.Context(cli.main)))


def _command(command: click.Command, context: click.Context) -> dict[str, Any]:
    shown: dict[str, Any] = {"parameters": [_parameter(item) for item in command.params]}
    if isinstance(command, click.Group):
        names = command.list_commands(context)
        found = {name: command.get_command(context, name) for name in names}
        shown["commands"] = {
            name: _command(subcommand, context)
            for name, subcommand in found.items()
            if subcommand is not None
        }
    return shown


def _parameter(item: click.Parameter) -> dict[str, Any]:
    shown: dict[str, Any] = {"kind": item.param_type_name, "names": [*item.opts, *item.secondary_opts]}
    if isinstance(item, click.Argument):
        shown["names"] = [item.human_readable_name]
    described = described_default(item)
    default = None if repr(item.default).startswith("Sentinel") or callable(item.default) else item.default
    choices = list(item.type.choices) if isinstance(item.type, click.Choice) else None
    bounds = [getattr(item.type, name, None) for name in ("min", "max")]
    return shown | {
        "type": item.type.name,
        "default": default if described is None else described,
        "choices": choices,
        "bounds": bounds,
        "required": item.required,
        "multiple": item.multiple,
        "nargs": item.nargs,
        "flag": getattr(item, "is_flag", False),
        "environment": item.envvar,
    }


def described_default(item: click.Parameter) -> str | None:
    """Return the help text of a default that depends on the machine, or None for other defaults."""
    described = getattr(item, "show_default", None)
    return described if isinstance(described, str) else None


def machine_dependent_defaults() -> dict[str, tuple[str, Any]]:
    """Return the help text and this machine's value of each such default, by command and option."""
    return _machine_dependent(cli.main, click.Context(cli.main), ())


def _machine_dependent(
    command: click.Command, context: click.Context, path: tuple[str, ...]
) -> dict[str, tuple[str, Any]]:
    found: dict[str, tuple[str, Any]] = {}
    for item in command.params:
        described = described_default(item)
        if described is not None:
            found[" ".join((*path, item.opts[0]))] = (described, item.default)
    if isinstance(command, click.Group):
        for name in command.list_commands(context):
            subcommand = command.get_command(context, name)
            if subcommand is not None:
                found |= _machine_dependent(subcommand, context, (*path, name))
    return found


def printed_addresses(service: PlacerService) -> dict[str, str]:
    """Return the addresses that `kelpfront serve` prints as JSON once it is ready."""
    return addresses(service)
