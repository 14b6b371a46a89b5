"""The operations of the API, independent of the protocol: validated here and executed by the controller.

All fronts call them. A rejected operation raises an `ApiError`. This module does no I/O.
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
    job_name_of_token,
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
"""Characters of generated names: no vowels, which could form words, and none that look alike."""
NAME_SUFFIX_LENGTH = 8
NAME_CANDIDATES = 4
"""Number of generated names to try before the request fails because of a clash, which is rare anyway."""
RETRY_AFTER_S = 1
"""Seconds until a rejected client should retry; the causes of a rejection last about a second."""
MAX_ATTEMPT_NUMBER_DIGITS = 9
"""Digits of a client's attempt number that are parsed; more add no information and take time to convert."""


@dataclass(frozen=True, slots=True)
class WriteResult:
    """An object after a write; `created` is False if an earlier identical request had created the object."""

    stored: StoredObject
    created: bool = False
    warnings: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestOrigin:
    """When a submission was sent and received, and whether it is a retry.

    Attributes:
        received_at: when the request was received, in milliseconds of the common clock.
        sent_at: when the client sent the request by its own clock; None if it did not say.
        is_retry: whether an earlier submission was rejected with a request to retry.
    """

    received_at: float
    sent_at: float | None = None
    is_retry: bool = False


class Operations:
    """The API operations of one controller.

    Attributes:
        rejection_message: why no jobs are accepted; empty if they are accepted.
        starting: whether machines have yet to report which tasks they run.
        first_tries: the number of submissions that were not retries, according to their clients.
        retries: the number of submissions that were retries.
    """

    def __init__(self, controller: JobController, now: Callable[[], float], rng: random.Random) -> None:
        """Operate on `controller`; `now` returns the common clock's time, `rng` generates names."""
        self._controller = controller
        self._now = now
        self._rng = rng
        self.rejection_message = ""
        self.starting = False
        self.first_tries = 0
        self.retries = 0

    def count_submission(self, attempt_number: str) -> bool:
        """Count a submission, and return whether it is a retry by the attempt number that its client sent."""
        is_number = attempt_number.isascii() and attempt_number.isdigit()
        is_retry = is_number and int(attempt_number[:MAX_ATTEMPT_NUMBER_DIGITS]) > 0
        self.retries += is_retry
        self.first_tries += not is_retry
        return is_retry

    @property
    def store(self) -> ResourceStore:
        """The objects that the API serves."""
        return self._controller.store

    def get(self, resource: Resource, key: tuple[str, str]) -> StoredObject:
        """Return an object.

        While the controller is starting, machines have yet to report the jobs that run. A 404 at that time
        would make a client submit its job again, or assume that the job was deleted.

        Raises:
            ApiError: 404 if there is no such object, 503 if that is not known yet.
        """
        if self.starting and resource is JOBS and self.store.find(resource, key) is None:
            raise ApiError(503, self.rejection_message, retry_after_s=RETRY_AFTER_S)
        return self.store.get(resource, key)

    # ---- Jobs -----------------------------------------------------------------------------------------

    def check_overload(self, received_at: float) -> None:
        """Check, before a request's body is read, that work is accepted; raise ApiError 503 if it is not."""
        reason = overload_reason(self._now(), received_at)
        if reason:
            raise ApiError(503, reason, retry_after_s=RETRY_AFTER_S)

    def create_job(
        self, namespace: str, data: Object, origin: RequestOrigin, validation: FieldValidation = "Strict"
    ) -> WriteResult:
        """Accept a job, or return the job that was created earlier with the same client token."""
        self._check_namespace(namespace)
        job, warnings = decode(JOB_INPUT, JOBS, data, validation)
        self._check_metadata(JOBS, job.metadata, namespace, job.metadata.name)
        existing = self._find_by_token(namespace, job.spec)
        if existing is not None:
            self._check_same_job(existing, job)
            return WriteResult(existing, warnings=warnings)
        if self.rejection_message:
            raise ApiError(503, self.rejection_message, retry_after_s=RETRY_AFTER_S)
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
        return WriteResult(self._controller.submit(now, submission), created=True, warnings=warnings)

    def _find_by_token(self, namespace: str, spec: JobSpec) -> StoredObject | None:
        if spec.client_token is None:
            return None
        return self._controller.find_by_client_token(namespace, spec.client_token)

    def _check_in_time(self, arrival: Arrival, count: int, origin: RequestOrigin) -> None:
        """Raise ApiError 503 if a job's tasks could not be answered in time."""
        tick_ms = self._controller.cluster.settings.timer_resolution_ms
        reason = rejection_reason(arrival, self._controller.pending_count, tick_ms)
        if reason:
            self._controller.record_early_rejection(arrival.now, count, is_retry=origin.is_retry)
            raise ApiError(503, reason, retry_after_s=RETRY_AFTER_S)

    def _check_same_job(self, existing: StoredObject, job: JobInput) -> None:
        """Raise ApiError 409 if a client token is reused for a different job."""
        new = job.spec.model_dump(by_alias=True, exclude_none=True)
        old = existing.body["spec"]
        # The count may have been updated since, and a retry has less time left than the first try.
        compared = [name for name in new if name not in ("count", "patience")]
        differing = [name for name in compared if old.get(name) != new[name]]
        if job.metadata.name is not None and job.metadata.name != existing.name:
            differing.insert(0, "metadata.name")
        if differing:
            raise conflict(
                JOBS, existing.name, f"its clientToken comes with another {', '.join(differing)} than before"
            )

    def _name(self, namespace: str, job: JobInput) -> str:
        """Return the client's name for the job, a name derived from its token, or a generated name."""
        if job.metadata.name is not None:
            return job.metadata.name
        prefix = job.metadata.generate_name or "job-"
        if job.spec.client_token is not None:
            candidates = [job_name_of_token(job.spec.client_token, prefix)]
        else:
            candidates = [self._generate_name(prefix) for _ in range(NAME_CANDIDATES)]
        try:
            check_name(candidates[0])
        except ValueError as error:
            raise invalid(JOBS, candidates[0], (Cause("metadata.generateName", str(error)),)) from error
        free = [name for name in candidates if self.store.find(JOBS, (namespace, name)) is None]
        return free[0] if free else candidates[0]

    def _generate_name(self, prefix: str) -> str:
        return "".join([prefix, *self._rng.choices(NAME_ALPHABET, k=NAME_SUFFIX_LENGTH)])

    def replace_job(
        self,
        namespace: str,
        name: str,
        data: Object,
        received_at: float,
        validation: FieldValidation = "Strict",
    ) -> WriteResult:
        """Replace a job's spec, labels and annotations."""
        stored = self.store.get(JOBS, (namespace, name))
        job, warnings = decode(JOB_INPUT, JOBS, data, validation)
        self._check_metadata(JOBS, job.metadata, namespace, name)
        self.store.check_revision(JOBS, stored, job.metadata.resource_version)
        updated = self._update_job(stored, job.spec, job.metadata, received_at)
        return WriteResult(updated, warnings=warnings)

    def patch_job(
        self,
        namespace: str,
        name: str,
        patch: Any,
        received_at: float,
        validation: FieldValidation = "Strict",
    ) -> WriteResult:
        """Change a job's spec, labels and annotations by a JSON merge patch."""
        stored = self.store.get(JOBS, (namespace, name))
        merged = self._apply_patch(JOBS, stored, patch)
        job, warnings = decode(JOB_INPUT, JOBS, merged, validation)
        self._check_metadata(JOBS, job.metadata, namespace, name)
        self.store.check_revision(JOBS, stored, job.metadata.resource_version)
        updated = self._update_job(stored, job.spec, job.metadata, received_at)
        return WriteResult(updated, warnings=warnings)

    def _update_job(
        self, stored: StoredObject, spec: JobSpec, metadata: ObjectMeta, received_at: float
    ) -> StoredObject:
        if self.rejection_message and spec.count > stored.body["spec"]["count"]:
            raise ApiError(503, self.rejection_message, retry_after_s=RETRY_AFTER_S)
        update = JobUpdate(spec, metadata.labels or {}, metadata.annotations or {}, received_at)
        return self._controller.update(self._now(), stored.key, update)

    def delete_job(self, namespace: str, name: str, options: Object | None = None) -> StoredObject:
        """Delete a job, if the preconditions on uid and resourceVersion hold."""
        stored = self.store.get(JOBS, (namespace, name))
        self._check_preconditions(JOBS, stored, options or {})
        return self._controller.delete(self._now(), stored.key)

    def delete_jobs(self, namespace: str, selector: Selector) -> list[StoredObject]:
        """Delete all jobs of a namespace that match a selector."""
        page = self.store.list_objects(JOBS, namespace, selector)
        return [self._controller.delete(self._now(), stored.key) for stored in page.items]

    # ---- Machines -------------------------------------------------------------------------------------

    def replace_machine(self, name: str, data: Object, validation: FieldValidation = "Strict") -> WriteResult:
        """Replace a machine's spec, in which only `unschedulable` may change."""
        stored = self.store.get(MACHINES, ("", name))
        return self._write_machine(stored, data, validation)

    def patch_machine(self, name: str, patch: Any, validation: FieldValidation = "Strict") -> WriteResult:
        """Change a machine's `unschedulable` by a JSON merge patch."""
        stored = self.store.get(MACHINES, ("", name))
        return self._write_machine(stored, self._apply_patch(MACHINES, stored, patch), validation)

    def _write_machine(self, stored: StoredObject, data: Object, validation: FieldValidation) -> WriteResult:
        """Write a machine's spec, in which only `unschedulable` may change; it drains the machine."""
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
            return WriteResult(stored, warnings=warnings)
        cordoned = self._controller.cordon(self._now(), stored.name, unschedulable=machine.spec.unschedulable)
        return WriteResult(cordoned, warnings=warnings)

    # ---- Levels ---------------------------------------------------------------------------------------

    def replace_level(self, name: str, data: Object, validation: FieldValidation = "Strict") -> WriteResult:
        """Replace a level's spec: pin or unpin the level."""
        stored = self.store.get(LEVELS, ("", name))
        return self._write_level(stored, data, validation)

    def patch_level(self, name: str, patch: Any, validation: FieldValidation = "Strict") -> WriteResult:
        """Change a level's pin by a JSON merge patch; a pin in the patch restarts its duration."""
        stored = self.store.get(LEVELS, ("", name))
        merged = self._apply_patch(LEVELS, stored, patch)
        patches_pin = isinstance(patch.get("spec"), dict) and "pin" in patch["spec"]
        return self._write_level(stored, merged, validation, renew=patches_pin)

    def _write_level(
        self, stored: StoredObject, data: Object, validation: FieldValidation, *, renew: bool = False
    ) -> WriteResult:
        """Write a level's spec. Only the pin can be changed through the API.

        Writing an unchanged pin has no effect, unless `renew` is set, which restarts its duration.
        """
        level, warnings = decode(LEVEL_INPUT, LEVELS, data, validation)
        self._check_metadata(LEVELS, level.metadata, "", stored.name)
        self.store.check_revision(LEVELS, stored, level.metadata.resource_version)
        pin = level.spec.pin
        current_pin = stored.body["spec"].get("pin")
        new_pin = None if pin is None else pin.model_dump(by_alias=True)
        renews_pin = renew and pin is not None
        if new_pin == current_pin and not renews_pin:
            return WriteResult(stored, warnings=warnings)
        level_to_pin = None if pin is None else Level.from_api_name(pin.level)
        for_ms = 0.0 if pin is None else parse_duration(pin.for_)
        pinned = self._controller.pin_level(self._now(), level_to_pin, for_ms)
        return WriteResult(pinned, warnings=warnings)

    # ---- Checks shared by all resources ---------------------------------------------------------------

    @staticmethod
    def _check_namespace(namespace: str) -> None:
        try:
            check_namespace(namespace)
        except ValueError as error:
            raise ApiError(400, str(error)) from error

    @staticmethod
    def _check_metadata(resource: Resource, metadata: ObjectMeta, namespace: str, name: str | None) -> None:
        """Check that the metadata of a written object matches the namespace and name of the request."""
        if metadata.namespace is not None and metadata.namespace != namespace:
            raise ApiError(
                400, f"metadata.namespace is {metadata.namespace!r}, the request's is {namespace!r}"
            )
        if name is not None and metadata.name is not None and metadata.name != name:
            cause = Cause("metadata.name", f"is {metadata.name!r}, the request's is {name!r}")
            raise invalid(resource, name, (cause,))

    @staticmethod
    def _apply_patch(resource: Resource, stored: StoredObject, patch: Any) -> Object:
        if not isinstance(patch, dict):
            raise ApiError(400, "a merge patch of an object is an object")
        merged: Object = merge_patch({k: v for k, v in stored.body.items() if k != "status"}, patch)
        if not isinstance(merged.get("metadata"), dict):
            raise invalid(resource, stored.name, (Cause("metadata", "must be an object"),))
        patch_metadata = patch.get("metadata") or {}
        if "resourceVersion" not in patch_metadata:  # the patch applies to any revision
            merged["metadata"].pop("resourceVersion", None)
        return merged

    @staticmethod
    def _check_preconditions(resource: Resource, stored: StoredObject, options: Object) -> None:
        preconditions = options.get("preconditions") or {}
        if not isinstance(preconditions, dict):
            raise ApiError(400, "preconditions: an object is expected")
        uid = stored.body["metadata"]["uid"]
        if preconditions.get("uid") not in (None, uid):
            raise conflict(resource, stored.name, f"the uid in the precondition is not its uid ({uid})")
        revision = preconditions.get("resourceVersion")
        if revision not in (None, str(stored.revision)):
            raise conflict(
                resource, stored.name, f"the resourceVersion in the precondition is not {stored.revision}"
            )
