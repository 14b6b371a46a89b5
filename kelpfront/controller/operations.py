"""What clients and operators may do, whatever the protocol: checked here, carried out by the controller.

Every front calls these. An `ApiError` is the answer where something is not done. No I/O.
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
from kelpfront.controller.admission import Arrival, overload_reason, rejection_reason, timeout_starts_at
from kelpfront.controller.job_controller import JobController
from kelpfront.controller.jobs import JobUpdate, Submission
from kelpfront.degradation import Level
from kelpfront.store import ResourceStore, StoredObject
from kelpfront.units import parse_duration

NAME_ALPHABET = "bcdfghjklmnpqrstvwxz2456789"
"""Letters and digits of made-up names: no vowels, so that no words come out, and none that look alike."""
NAME_SUFFIX_LENGTH = 8
NAME_CANDIDATES = 4
"""Made-up names that are tried before one that is taken is refused: a clash is rare as it is."""
RETRY_AFTER_S = 1
"""When a client that was rejected should try again: what stands in its way is over in about a second."""
MAX_ATTEMPT_MARK_DIGITS = 9
"""Digits that are read of a client's mark: more say nothing, and a long number costs time."""


@dataclass(frozen=True, slots=True)
class Written:
    """An object after a write; `created` is False where a repeated request found what the first had made."""

    stored: StoredObject
    created: bool = False
    warnings: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestOrigin:
    """How a submission came in.

    Attributes:
        received_at: when its request came in, in milliseconds of the common clock.
        sent_at: when its client says that it sent it, if it says so.
        is_retry: whether its client has submitted it before and was told to come back.
    """

    received_at: float
    sent_at: float | None = None
    is_retry: bool = False


class Operations:
    """The operations of one controller.

    Attributes:
        closed: why no jobs are accepted; empty where they are.
        starting: whether it is not known yet what runs.
        first_tries: submissions that came in and were no retries, by their clients' marks.
        retries: those that were.
    """

    def __init__(self, controller: JobController, now: Callable[[], float], rng: random.Random) -> None:
        """Act on `controller`; `now` tells the common clock, `rng` makes up names."""
        self._controller = controller
        self._now = now
        self._rng = rng
        self.closed = ""
        self.starting = False
        self.first_tries = 0
        self.retries = 0

    def count_try(self, mark: str) -> bool:
        """Count a submission by the number of the try that its client gave; return whether it is a retry."""
        is_number = mark.isascii() and mark.isdigit()
        is_retry = is_number and int(mark[:MAX_ATTEMPT_MARK_DIGITS]) > 0
        self.retries += is_retry
        self.first_tries += not is_retry
        return is_retry

    @property
    def store(self) -> ResourceStore:
        """The objects that the API shows."""
        return self._controller.store

    def get(self, resource: Resource, key: tuple[str, str]) -> StoredObject:
        """Return an object.

        While the controller starts, machines have yet to report the jobs that run. A client that was told
        that its job does not exist would submit it again, or take it for deleted.

        Raises:
            ApiError: 404 where there is none, 503 where that is not known yet.
        """
        if self.starting and resource is JOBS and self.store.find(resource, key) is None:
            raise ApiError(503, self.closed, retry_after_s=RETRY_AFTER_S)
        return self.store.get(resource, key)

    # ---- Jobs -----------------------------------------------------------------------------------------

    def check_open(self, received_at: float) -> None:
        """Check, before a request's body is read, that work is accepted now; ApiError 503 where it is not."""
        why = overload_reason(self._now(), received_at)
        if why:
            raise ApiError(503, why, retry_after_s=RETRY_AFTER_S)

    def create_job(
        self, namespace: str, data: Object, origin: RequestOrigin, validation: FieldValidation = "Strict"
    ) -> Written:
        """Accept a job, or find the one that the same client token made before."""
        self._check_namespace(namespace)
        job, warnings = decode(JOB_INPUT, JOBS, data, validation)
        self._check_metadata(JOBS, job.metadata, namespace, job.metadata.name)
        known = self._find_by_token(namespace, job.spec)
        if known is not None:
            self._check_same(known, job)
            return Written(known, warnings=warnings)
        if self.closed:
            raise ApiError(503, self.closed, retry_after_s=RETRY_AFTER_S)
        name = self._name(namespace, job)
        self._controller.check_spec(name, job.spec)
        now = self._now()
        timeout_ms = self._controller.timeout_ms(job.spec)
        arrival = Arrival(now, origin.received_at, origin.sent_at, timeout_ms)
        self._check_in_time(arrival, job.spec.count, origin)
        submission = Submission(
            namespace,
            name,
            job.spec,
            job.metadata.labels or {},
            job.metadata.annotations or {},
            timeout_starts_at(arrival),
            origin.is_retry,
        )
        return Written(self._controller.submit(now, submission), created=True, warnings=warnings)

    def _find_by_token(self, namespace: str, spec: JobSpec) -> StoredObject | None:
        if spec.client_token is None:
            return None
        return self._controller.find_by_client_token(namespace, spec.client_token)

    def _check_in_time(self, arrival: Arrival, count: int, origin: RequestOrigin) -> None:
        """ApiError 503 where a job's tasks could not be answered in time."""
        tick_ms = self._controller.cluster.settings.timer_resolution_ms
        why = rejection_reason(arrival, self._controller.pending_count, tick_ms)
        if why:
            self._controller.record_early_rejection(arrival.now, count, is_retry=origin.is_retry)
            raise ApiError(503, why, retry_after_s=RETRY_AFTER_S)

    def _check_same(self, known: StoredObject, job: JobInput) -> None:
        """ApiError 409 where a token that made one job comes with another."""
        new = job.spec.model_dump(by_alias=True, exclude_none=True)
        old = known.body["spec"]
        # The count may have been changed since, and a retry has less of its time left than the first try.
        compared = [name for name in new if name not in ("count", "patience")]
        differing = [name for name in compared if old.get(name) != new[name]]
        if job.metadata.name is not None and job.metadata.name != known.name:
            differing.insert(0, "metadata.name")
        if differing:
            raise conflict(
                JOBS, known.name, f"its clientToken comes with another {', '.join(differing)} than before"
            )

    def _name(self, namespace: str, job: JobInput) -> str:
        """Return the client's name for the job, or one made of its token, or one made up."""
        if job.metadata.name is not None:
            return job.metadata.name
        prefix = job.metadata.generate_name or "job-"
        if job.spec.client_token is not None:
            candidates = [name_of_token(job.spec.client_token, prefix)]
        else:
            candidates = [self._made_up_name(prefix) for _ in range(NAME_CANDIDATES)]
        try:
            check_name(candidates[0])
        except ValueError as error:
            raise invalid(JOBS, candidates[0], (Cause("metadata.generateName", str(error)),)) from error
        free = [name for name in candidates if self.store.find(JOBS, (namespace, name)) is None]
        return free[0] if free else candidates[0]

    def _made_up_name(self, prefix: str) -> str:
        return "".join([prefix, *self._rng.choices(NAME_ALPHABET, k=NAME_SUFFIX_LENGTH)])

    def replace_job(
        self,
        namespace: str,
        name: str,
        data: Object,
        received_at: float,
        validation: FieldValidation = "Strict",
    ) -> Written:
        """Replace a job's spec, labels and annotations."""
        stored = self.store.get(JOBS, (namespace, name))
        job, warnings = decode(JOB_INPUT, JOBS, data, validation)
        self._check_metadata(JOBS, job.metadata, namespace, name)
        self.store.check_revision(JOBS, stored, job.metadata.resource_version)
        updated = self._update_job(stored, job.spec, job.metadata, received_at)
        return Written(updated, warnings=warnings)

    def patch_job(
        self,
        namespace: str,
        name: str,
        patch: Any,
        received_at: float,
        validation: FieldValidation = "Strict",
    ) -> Written:
        """Change a job's spec, labels and annotations by a JSON merge patch."""
        stored = self.store.get(JOBS, (namespace, name))
        merged = self._patched(JOBS, stored, patch)
        job, warnings = decode(JOB_INPUT, JOBS, merged, validation)
        self._check_metadata(JOBS, job.metadata, namespace, name)
        self.store.check_revision(JOBS, stored, job.metadata.resource_version)
        updated = self._update_job(stored, job.spec, job.metadata, received_at)
        return Written(updated, warnings=warnings)

    def _update_job(
        self, stored: StoredObject, spec: JobSpec, metadata: ObjectMeta, received_at: float
    ) -> StoredObject:
        if self.closed and spec.count > stored.body["spec"]["count"]:
            raise ApiError(503, self.closed, retry_after_s=RETRY_AFTER_S)
        update = JobUpdate(spec, metadata.labels or {}, metadata.annotations or {}, received_at)
        return self._controller.update(self._now(), stored.key, update)

    def delete_job(self, namespace: str, name: str, options: Object | None = None) -> StoredObject:
        """Remove a job, if the preconditions on uid and resourceVersion hold."""
        stored = self.store.get(JOBS, (namespace, name))
        self._check_preconditions(JOBS, stored, options or {})
        return self._controller.delete(self._now(), stored.key)

    def delete_jobs(self, namespace: str, selector: Selector) -> list[StoredObject]:
        """Remove all jobs of a namespace that a selector chooses."""
        page = self.store.list_objects(JOBS, namespace, selector)
        return [self._controller.delete(self._now(), stored.key) for stored in page.items]

    # ---- Machines -------------------------------------------------------------------------------------

    def replace_machine(self, name: str, data: Object, validation: FieldValidation = "Strict") -> Written:
        """Replace a machine's spec, of which only `unschedulable` may differ."""
        stored = self.store.get(MACHINES, ("", name))
        return self._write_machine(stored, data, validation)

    def patch_machine(self, name: str, patch: Any, validation: FieldValidation = "Strict") -> Written:
        """Change a machine's `unschedulable` by a JSON merge patch."""
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
            return Written(stored, warnings=warnings)
        cordoned = self._controller.cordon(self._now(), stored.name, unschedulable=machine.spec.unschedulable)
        return Written(cordoned, warnings=warnings)

    # ---- Levels ---------------------------------------------------------------------------------------

    def replace_level(self, name: str, data: Object, validation: FieldValidation = "Strict") -> Written:
        """Replace a level's spec: pin the level, or let go of it."""
        stored = self.store.get(LEVELS, ("", name))
        return self._write_level(stored, data, validation)

    def patch_level(self, name: str, patch: Any, validation: FieldValidation = "Strict") -> Written:
        """Change a level's pin by a JSON merge patch; a pin that is named has its time begin anew."""
        stored = self.store.get(LEVELS, ("", name))
        merged = self._patched(LEVELS, stored, patch)
        named = isinstance(patch.get("spec"), dict) and "pin" in patch["spec"]
        return self._write_level(stored, merged, validation, renew=named)

    def _write_level(
        self, stored: StoredObject, data: Object, validation: FieldValidation, *, renew: bool = False
    ) -> Written:
        """Only the pin is the API's to change.

        One that is written back unchanged is left; with `renew` its time begins anew.
        """
        level, warnings = decode(LEVEL_INPUT, LEVELS, data, validation)
        self._check_metadata(LEVELS, level.metadata, "", stored.name)
        self.store.check_revision(LEVELS, stored, level.metadata.resource_version)
        pin = level.spec.pin
        known_pin = stored.body["spec"].get("pin")
        new_pin = None if pin is None else pin.model_dump(by_alias=True)
        renews_pin = renew and pin is not None
        if new_pin == known_pin and not renews_pin:
            return Written(stored, warnings=warnings)
        level_to_pin = None if pin is None else Level.from_api_name(pin.level)
        for_ms = 0.0 if pin is None else parse_duration(pin.for_)
        pinned = self._controller.pin_level(self._now(), level_to_pin, for_ms)
        return Written(pinned, warnings=warnings)

    # ---- Both -----------------------------------------------------------------------------------------

    @staticmethod
    def _check_namespace(namespace: str) -> None:
        try:
            check_namespace(namespace)
        except ValueError as error:
            raise ApiError(400, str(error)) from error

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
