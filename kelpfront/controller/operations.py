"""What owners and operators may do, whatever the protocol: checked, then carried out by the heart. No I/O.

Every front calls these. An `ApiError` is the answer where something is not done.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from kelpfront.api import machines as machine_api
from kelpfront.api.decode import FieldValidation, decode
from kelpfront.api.errors import ApiError, Cause, conflict, invalid
from kelpfront.api.jobs import JOB_INPUT, JobInput, JobSpec
from kelpfront.api.levels import LEVEL_INPUT
from kelpfront.api.machines import MACHINE_INPUT
from kelpfront.api.meta import (
    JOBS,
    LEVELS,
    MACHINES,
    Object,
    ObjectMeta,
    Resource,
    check_name,
    check_namespace,
    name_of_token,
)
from kelpfront.api.patch import merge_patch
from kelpfront.api.selectors import Selector
from kelpfront.controller.admission import Arrival, asked_at, behind, refusal
from kelpfront.controller.controller import Controller
from kelpfront.degradation import Level
from kelpfront.store import ResourceStore, StoredObject
from kelpfront.units import parse_duration

NAME_ALPHABET = "bcdfghjklmnpqrstvwxz2456789"


@dataclass(frozen=True, slots=True)
class Written:
    """An object after a write; `created` is False where a repeated request found what the first had made."""

    stored: StoredObject
    created: bool = False
    warnings: tuple[str, ...] = ()


class Operations:
    """Of one placer. `now` is the common clock; `closed` says why no jobs are taken, empty where they are."""

    def __init__(self, heart: Controller, now: Callable[[], float], rng: random.Random) -> None:
        self._heart, self._now, self._rng = heart, now, rng
        self.closed = ""
        self.starting = False  # what runs is not known yet
        self.first_tries = self.retries = 0  # submissions that came in, by their clients' marks

    def count_try(self, attempt: str) -> bool:
        """A submission came in, with the number of the try as its client marks it. Whether it is a repeat."""
        again = attempt.isascii() and attempt.isdigit() and int(attempt[:9]) > 0
        self.retries += again
        self.first_tries += not again
        return again

    @property
    def store(self) -> ResourceStore:
        return self._heart.store

    def get(self, resource: Resource, key: tuple[str, str]) -> StoredObject:
        """The object; ApiError 404 where there is none, 503 where that is not known yet.

        While the placer starts, jobs that run are still to be told by their machines. A client that was told
        that its job is not there would ask for it anew, or take it for deleted.
        """
        if self.starting and resource is JOBS and self.store.find(resource, key) is None:
            raise ApiError(503, self.closed, retry_after_s=1)
        return self.store.get(resource, key)

    # ---- Jobs -----------------------------------------------------------------------------------------

    def check_open(self, received_at: float) -> None:
        """503 where no work is taken now, whatever it is; to be asked before a request's body is read."""
        if why := behind(self._now(), received_at):
            raise ApiError(503, why, retry_after_s=1)

    def create_job(
        self,
        namespace: str,
        data: Object,
        received_at: float,
        sent_at: float | None = None,
        validation: FieldValidation = "Strict",
        *,
        again: bool = False,
    ) -> Written:
        """Takes a job, or finds the one that the same client token made before.

        `received_at` is when its request came in, `sent_at` when its client says that it sent it; `again`
        whether it asked before and was told to come back.
        """
        self._check_namespace(namespace)
        job, warnings = decode(JOB_INPUT, JOBS, data, validation)
        self._check_metadata(JOBS, job.metadata, namespace, job.metadata.name)
        spec = job.spec
        if spec.client_token is not None:
            known = self._heart.find_token(namespace, spec.client_token)
            if known is not None:
                self._check_same(known, job)
                return Written(known, False, warnings)
        if self.closed:
            raise ApiError(503, self.closed, retry_after_s=1)
        name = self._name(namespace, job)
        self._heart.check_spec(name, spec)
        now = self._now()
        arrival = Arrival(now, received_at, sent_at, self._heart.patience_ms(spec))
        if why := refusal(arrival, self._heart.pending, self._heart.cluster.settings.timer_resolution_ms):
            self._heart.turned_away(now, spec.count, again)
            raise ApiError(503, why, retry_after_s=1)
        stored = self._heart.submit(
            now,
            namespace,
            name,
            spec,
            job.metadata.labels or {},
            job.metadata.annotations or {},
            asked_at(arrival),
            again=again,
        )
        return Written(stored, True, warnings)

    def _check_same(self, known: StoredObject, job: JobInput) -> None:
        """409 where a token that made one job comes with another."""
        new = job.spec.model_dump(by_alias=True, exclude_none=True)
        old = known.body["spec"]
        # The count may have been changed since, and a repeat has less patience left than the first had.
        compared = [name for name in new if name not in ("count", "patience")]
        differing = [name for name in compared if old.get(name) != new[name]]
        if job.metadata.name is not None and job.metadata.name != known.name:
            differing.insert(0, "metadata.name")
        if differing:
            raise conflict(
                JOBS, known.name, f"its clientToken comes with another {', '.join(differing)} than before"
            )

    def _name(self, namespace: str, job: JobInput) -> str:
        """The client's name for the job, or one made of its token or of chance."""
        if job.metadata.name is not None:
            return job.metadata.name
        prefix = job.metadata.generate_name or "job-"
        if job.spec.client_token is not None:
            candidates = [name_of_token(job.spec.client_token, prefix)]
        else:
            candidates = ["".join([prefix, *self._rng.choices(NAME_ALPHABET, k=8)]) for _ in range(4)]
        try:
            check_name(candidates[0])
        except ValueError as error:
            raise invalid(JOBS, candidates[0], (Cause("metadata.generateName", str(error)),)) from None
        free = [name for name in candidates if self.store.find(JOBS, (namespace, name)) is None]
        return free[0] if free else candidates[0]

    def replace_job(
        self,
        namespace: str,
        name: str,
        data: Object,
        received_at: float,
        validation: FieldValidation = "Strict",
    ) -> Written:
        """PUT: spec, labels and annotations as given."""
        stored = self.store.get(JOBS, (namespace, name))
        job, warnings = decode(JOB_INPUT, JOBS, data, validation)
        self._check_metadata(JOBS, job.metadata, namespace, name)
        self.store.check_revision(JOBS, stored, job.metadata.resource_version)
        return Written(self._update_job(stored, job.spec, job.metadata, received_at), False, warnings)

    def patch_job(
        self,
        namespace: str,
        name: str,
        patch: Any,
        received_at: float,
        validation: FieldValidation = "Strict",
    ) -> Written:
        """JSON merge patch of spec, labels and annotations."""
        stored = self.store.get(JOBS, (namespace, name))
        merged = self._patched(JOBS, stored, patch)
        job, warnings = decode(JOB_INPUT, JOBS, merged, validation)
        self._check_metadata(JOBS, job.metadata, namespace, name)
        self.store.check_revision(JOBS, stored, job.metadata.resource_version)
        return Written(self._update_job(stored, job.spec, job.metadata, received_at), False, warnings)

    def _update_job(
        self, stored: StoredObject, spec: JobSpec, metadata: ObjectMeta, received_at: float
    ) -> StoredObject:
        if self.closed and spec.count > stored.body["spec"]["count"]:
            raise ApiError(503, self.closed, retry_after_s=1)
        return self._heart.update(
            self._now(), stored.key, spec, metadata.labels or {}, metadata.annotations or {}, received_at
        )

    def delete_job(self, namespace: str, name: str, options: Object | None = None) -> StoredObject:
        """Removes a job; preconditions on uid and resourceVersion are held to."""
        stored = self.store.get(JOBS, (namespace, name))
        self._check_preconditions(JOBS, stored, options or {})
        return self._heart.delete(self._now(), stored.key)

    def delete_jobs(self, namespace: str, selector: Selector) -> list[StoredObject]:
        """Removes all jobs of a namespace that a selector chooses."""
        page = self.store.list_objects(JOBS, namespace, selector)
        return [self._heart.delete(self._now(), stored.key) for stored in page.items]

    # ---- Machines -------------------------------------------------------------------------------------

    def replace_machine(self, name: str, data: Object, validation: FieldValidation = "Strict") -> Written:
        stored = self.store.get(MACHINES, ("", name))
        return self._write_machine(stored, data, validation)

    def patch_machine(self, name: str, patch: Any, validation: FieldValidation = "Strict") -> Written:
        stored = self.store.get(MACHINES, ("", name))
        return self._write_machine(stored, self._patched(MACHINES, stored, patch), validation)

    def _write_machine(self, stored: StoredObject, data: Object, validation: FieldValidation) -> Written:
        """Only `unschedulable` is the API's to change: it drains the machine."""
        machine, warnings = decode(MACHINE_INPUT, MACHINES, data, validation)
        self._check_metadata(MACHINES, machine.metadata, "", stored.name)
        self.store.check_revision(MACHINES, stored, machine.metadata.resource_version)
        new, old = machine.spec.model_dump(by_alias=True), stored.body["spec"]
        causes = tuple(
            Cause(f"spec.{field}", "is the inventory's and cannot be changed here", "FieldValueForbidden")
            for field in machine_api.FIXED_SPEC_FIELDS
            if new[field] != old[field]
        )
        if causes:
            raise invalid(MACHINES, stored.name, causes)
        if machine.spec.unschedulable == old["unschedulable"]:
            return Written(stored, False, warnings)
        return Written(
            self._heart.cordon(self._now(), stored.name, machine.spec.unschedulable), False, warnings
        )

    # ---- Levels ---------------------------------------------------------------------------------------

    def replace_level(self, name: str, data: Object, validation: FieldValidation = "Strict") -> Written:
        stored = self.store.get(LEVELS, ("", name))
        return self._write_level(stored, data, validation)

    def patch_level(self, name: str, patch: Any, validation: FieldValidation = "Strict") -> Written:
        stored = self.store.get(LEVELS, ("", name))
        merged = self._patched(LEVELS, stored, patch)
        named = isinstance(patch.get("spec"), dict) and "pin" in patch["spec"]
        return self._write_level(stored, merged, validation, renew=named)

    def _write_level(
        self, stored: StoredObject, data: Object, validation: FieldValidation, renew: bool = False
    ) -> Written:
        """Only the pin is the API's to change.

        One that is written back as it stands is left; with `renew` its time begins anew.
        """
        level, warnings = decode(LEVEL_INPUT, LEVELS, data, validation)
        self._check_metadata(LEVELS, level.metadata, "", stored.name)
        self.store.check_revision(LEVELS, stored, level.metadata.resource_version)
        pin = level.spec.pin
        unchanged = (None if pin is None else pin.model_dump(by_alias=True)) == stored.body["spec"].get("pin")
        if unchanged and not (renew and pin is not None):
            return Written(stored, False, warnings)
        its = None if pin is None else Level.from_api_name(pin.level)
        for_ms = 0.0 if pin is None else parse_duration(pin.for_)
        return Written(self._heart.pin_level(self._now(), its, for_ms), False, warnings)

    # ---- Both -----------------------------------------------------------------------------------------

    @staticmethod
    def _check_namespace(namespace: str) -> None:
        try:
            check_namespace(namespace)
        except ValueError as error:
            raise ApiError(400, str(error)) from None

    @staticmethod
    def _check_metadata(resource: Resource, metadata: ObjectMeta, namespace: str, name: str | None) -> None:
        """What a client writes must be about the object that it names in the path."""
        if metadata.namespace is not None and metadata.namespace != namespace:
            raise ApiError(
                400, f"metadata.namespace is {metadata.namespace!r}, the request's is {namespace!r}"
            )
        if name is not None and metadata.name is not None and metadata.name != name:
            cause = Cause("metadata.name", f"is {metadata.name!r}, the request's is {name!r}")
            raise invalid(resource, name, (cause,))

    @staticmethod
    def _patched(resource: Resource, stored: StoredObject, patch: Any) -> Object:
        if not isinstance(patch, dict):
            raise ApiError(400, "a merge patch of an object is an object")
        merged: Object = merge_patch({k: v for k, v in stored.body.items() if k != "status"}, patch)
        if not isinstance(merged.get("metadata"), dict):
            raise invalid(resource, stored.name, (Cause("metadata", "must be an object"),))
        given = patch.get("metadata") or {}
        if "resourceVersion" not in given:  # the patch is meant for whatever revision there is
            merged["metadata"].pop("resourceVersion", None)
        return merged

    @staticmethod
    def _check_preconditions(resource: Resource, stored: StoredObject, options: Object) -> None:
        wanted = options.get("preconditions") or {}
        if not isinstance(wanted, dict):
            raise ApiError(400, "preconditions: an object is expected")
        uid = stored.body["metadata"]["uid"]
        if wanted.get("uid") not in (None, uid):
            raise conflict(resource, stored.name, f"the uid in the precondition is not its uid ({uid})")
        revision = wanted.get("resourceVersion")
        if revision not in (None, str(stored.revision)):
            raise conflict(
                resource, stored.name, f"the resourceVersion in the precondition is not {stored.revision}"
            )
