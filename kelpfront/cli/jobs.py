"""Commands for the objects of a placer: submit, read, watch and delete jobs, and drain machines.

`tables` formats objects as tables; the commands for levels of service are in `levels`.
"""

from __future__ import annotations

import asyncio
import json
import sys
import uuid
from pathlib import Path
from typing import Any

import click
import yaml

from kelpfront.api.meta import JOBS, LEVELS, MACHINES, Object, Resource
from kelpfront.cli.common import (
    async_command,
    console,
    fail,
    fields_option,
    labels_option,
    namespace_option,
    output_option,
    print_objects,
    server_option,
)
from kelpfront.cli.tables import attempts_table, object_row, objects_table, tasks_table
from kelpfront.client import Client, Event
from kelpfront.units import parse_duration

RESOURCES = {
    name: resource for resource in (JOBS, MACHINES, LEVELS) for name in (resource.singular, resource.plural)
}
resource_argument = click.argument("resource", type=click.Choice(list(RESOURCES)))
all_option = click.option("-A", "--all-namespaces", is_flag=True, help="Jobs of all namespaces.")

# Exit codes of `submit --wait`; the help of `kelpfront` lists all of them.
EXIT_TASK_REFUSED = 3
EXIT_TASK_FAILED = 4

ANSWER_GRACE_S = 10.0  # time after the patience of a job in which its answer may still arrive
MS_PER_S = 1000.0


@click.command()
@server_option
@namespace_option
@click.option(
    "-f",
    "--file",
    type=click.Path(path_type=Path),
    help="File of a job, as JSON or YAML; options override it.",
)
@click.option("--name", help="Name of the job; generated if absent.")
@click.option("--class", "class_", help="Class of the job's tasks.")
@click.option("--service", help="Service that the tasks belong to.")
@click.option("--cores", type=float, help="Cores that each task requests.")
@click.option("--memory", type=float, help="Memory that each task requests.")
@click.option("--count", type=int, help="Number of tasks.")
@click.option("--patience", help="Maximum time to wait for each answer, such as 5s.")
@click.option("--key", help="Idempotency key, for a keyed class.")
@click.option(
    "--token", help="Token that identifies the request: a repeat returns the first job. Generated if absent."
)
@click.option("--label", "labels", multiple=True, metavar="KEY=VALUE")
@click.option("--env", "env", multiple=True, metavar="NAME=VALUE", help="Environment variable of the tasks.")
@click.option("--workdir", help="Working directory of the tasks; a new folder for each if absent.")
@click.option("--stop-grace", help="Time between SIGTERM and SIGKILL when a task is stopped, such as 10s.")
@click.argument("command", nargs=-1, metavar="[-- COMMAND...]")
@click.option("--wait", is_flag=True, help="Wait until each task has its answer.")
@output_option
@async_command
async def submit(
    server: str,
    namespace: str,
    file: Path | None,
    name: str | None,
    class_: str | None,
    service: str | None,
    cores: float | None,
    memory: float | None,
    count: int | None,
    patience: str | None,
    key: str | None,
    token: str | None,
    labels: tuple[str, ...],
    env: tuple[str, ...],
    workdir: str | None,
    stop_grace: str | None,
    command: tuple[str, ...],
    wait: bool,
    output: str,
) -> None:
    """Submit a job. The command that its tasks run on machines with an agent follows `--`."""
    body = {} if file is None else _read_job(file)
    metadata = body.setdefault("metadata", {})
    spec = body.setdefault("spec", {})
    if name is not None:
        metadata["name"] = name
    for label, value in _parse_pairs(labels, "--label").items():
        metadata.setdefault("labels", {})[label] = value
    options = {
        "class": class_,
        "service": service,
        "cores": cores,
        "memory": memory,
        "count": count,
        "patience": patience,
        "key": key,
        "clientToken": token,
        "command": list(command) or None,
        "env": _parse_pairs(env, "--env") or None,
        "workdir": workdir,
        "stopGrace": stop_grace,
    }
    spec.update({field: value for field, value in options.items() if value is not None})
    spec.setdefault("clientToken", str(uuid.uuid4()))
    async with Client(server) as client:
        job = await client.create(JOBS, metadata.get("namespace", namespace), body)
        if wait:
            job = await _follow(client, job, quiet=output != "table")
    print_objects(output, [job], lambda: tasks_table(job), one=True)
    if wait:
        _exit_unless_placed(job)


def _exit_unless_placed(job: Object) -> None:
    status = job["status"]
    answers = [task.get("answer") for task in status["tasks"]]
    if "Failed" in answers:
        raise SystemExit(EXIT_TASK_FAILED)
    if status["counts"].get("refused"):
        raise SystemExit(EXIT_TASK_REFUSED)


def _parse_pairs(texts: tuple[str, ...], option: str) -> dict[str, str]:
    pairs = {}
    for text in texts:
        name, equals, value = text.partition("=")
        if not equals:
            raise click.BadParameter(f"{text!r} is not KEY=VALUE", param_hint=option)
        pairs[name] = value
    return pairs


@click.command()
@server_option
@namespace_option
@click.option("--attempt", type=int, help="Number of the attempt; the last that was sent if absent.")
@click.option("--tail-bytes", type=int, help="Print only this many bytes from the end.")
@click.argument("job")
@click.argument("task", type=int, default=0)
@async_command
async def logs(
    server: str, namespace: str, attempt: int | None, tail_bytes: int | None, job: str, task: int
) -> None:
    """Print the output of a job's task, from the machine that runs or ran it."""
    async with Client(server) as client:
        text = await client.logs(namespace, job, task, attempt=attempt, tail_bytes=tail_bytes)
    sys.stdout.buffer.write(text)


def _read_job(path: Path) -> Any:
    try:
        body = yaml.safe_load(path.read_text())
    except (OSError, UnicodeDecodeError) as error:
        fail(f"{path}: {error}")
    except yaml.YAMLError as error:
        fail(f"{path}: is neither JSON nor YAML: {error}")
    if not isinstance(body, dict) or not isinstance(body.get("spec", {}), dict):
        fail(f"{path}: a job is a mapping with a mapping `spec`")
    return body


async def _follow(client: Client, job: Object, *, quiet: bool) -> Object:
    """Wait until all tasks of a job are answered and return the job; unless quiet, print their changes."""
    metadata = job["metadata"]
    patience_s = parse_duration(job["spec"]["patience"]) / MS_PER_S
    selector = f"metadata.name={metadata['name']}"
    printed: dict[int, str] = {}
    try:
        async with asyncio.timeout(patience_s + ANSWER_GRACE_S):
            async for event in client.watch(JOBS, metadata["namespace"], field_selector=selector):
                if event.kind == "DELETED":
                    fail(f"job {metadata['name']} was deleted")
                job = event.object
                if not quiet:
                    _print_changes(job, printed)
                if job["status"]["answered"] == len(job["status"]["tasks"]):
                    return job
    except TimeoutError:
        fail(f"job {metadata['name']}: no answer within its patience plus {ANSWER_GRACE_S:g} s")
    raise AssertionError  # a watch does not end by itself


def _print_changes(job: Object, printed: dict[int, str]) -> None:
    """Print the tasks that changed since `printed`, which holds the last text by index, and update it."""
    name = job["metadata"]["name"]
    for task in job["status"]["tasks"]:
        parts = [task["state"], task.get("machine"), task.get("reason")]
        text = " ".join(filter(None, parts))
        if printed.get(task["index"]) != text:
            printed[task["index"]] = text
            click.echo(f"{name}/{task['index']}: {text}", err=True)


@click.command()
@server_option
@namespace_option
@all_option
@labels_option
@fields_option
@output_option
@resource_argument
@click.argument("name", required=False)
@async_command
async def get(
    server: str,
    namespace: str,
    all_namespaces: bool,
    selector: str,
    field_selector: str,
    output: str,
    resource: str,
    name: str | None,
) -> None:
    """Show jobs, machines or levels of service, or one of them."""
    kind = RESOURCES[resource]
    scope = namespace if kind.namespaced and not all_namespaces else None
    async with Client(server) as client:
        if name is not None:
            objects = [await client.read(kind, namespace, name)]
        else:
            objects, _ = await client.list_objects(kind, scope, selector, field_selector)
    print_objects(
        output, objects, lambda: objects_table(kind, objects, wide=all_namespaces), one=name is not None
    )


@click.command()
@server_option
@namespace_option
@click.argument("resource", type=click.Choice(["job"]))
@click.argument("name")
@async_command
async def describe(server: str, namespace: str, resource: str, name: str) -> None:
    """Show a job with every attempt of its tasks: the machine and the outcome."""
    async with Client(server) as client:
        job = await client.read(RESOURCES[resource], namespace, name)
    out = console()
    spec = job["spec"]
    out.print(f"[bold]{job['metadata']['namespace']}/{job['metadata']['name']}[/]  {job['status']['phase']}")
    out.print("  " + "  ".join(f"{key} {value}" for key, value in spec.items()))
    out.print(tasks_table(job))
    out.print(attempts_table(job))


@click.command()
@server_option
@namespace_option
@all_option
@labels_option
@fields_option
@output_option
@click.option("--seconds", type=float, help="Exit after this many seconds.")
@resource_argument
@click.argument("name", required=False)
@async_command
async def watch(
    server: str,
    namespace: str,
    all_namespaces: bool,
    selector: str,
    field_selector: str,
    output: str,
    seconds: float | None,
    resource: str,
    name: str | None,
) -> None:
    """Show jobs, machines or levels of service and their changes until Ctrl-C. Resumes after a disconnect."""
    kind = RESOURCES[resource]
    scope = namespace if kind.namespaced and not all_namespaces else None
    if name is not None:
        field_selector = ",".join(filter(None, [field_selector, f"metadata.name={name}"]))
    async with Client(server) as client:
        try:
            async with asyncio.timeout(seconds):
                async for event in client.watch(kind, scope, selector, field_selector):
                    _print_event(kind, event, output)
        except TimeoutError:
            return


def _print_event(resource: Resource, event: Event, output: str) -> None:
    obj = event.object
    if output == "json":
        click.echo(json.dumps({"type": event.kind, "object": obj}))
    elif output == "yaml":
        click.echo(yaml.safe_dump({"type": event.kind, "object": obj}, sort_keys=False, explicit_start=True))
    elif output == "name":
        click.echo(f"{event.kind} {obj['kind'].lower()}/{obj['metadata']['name']}")
    else:
        click.echo(f"{event.kind:<8}  " + "  ".join(object_row(resource, obj, wide=True)))


@click.command()
@server_option
@namespace_option
@click.argument("resource", type=click.Choice(["job", "jobs"]), expose_value=False)
@click.argument("names", nargs=-1, required=True)
@async_command
async def delete(server: str, namespace: str, names: tuple[str, ...]) -> None:
    """Delete jobs; their running tasks are stopped."""
    async with Client(server) as client:
        for name in names:
            await client.delete_job(namespace, name)
            click.echo(f"job/{name} deleted")


@click.command()
@server_option
@click.argument("machine")
@async_command
async def drain(server: str, machine: str) -> None:
    """Stop this placer from offering new work to a machine; other placers are not affected."""
    async with Client(server) as client:
        updated = await client.set_unschedulable(machine, unschedulable=True)
    click.echo(f"machine/{machine} {updated.status.state if updated.status else ''}")


@click.command()
@server_option
@click.argument("machine")
@async_command
async def undrain(server: str, machine: str) -> None:
    """Let this placer offer work to a machine again."""
    async with Client(server) as client:
        updated = await client.set_unschedulable(machine, unschedulable=False)
    click.echo(f"machine/{machine} {updated.status.state if updated.status else ''}")
