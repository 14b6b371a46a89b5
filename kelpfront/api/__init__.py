"""The resources of the REST API: their shapes, their errors, and how they are selected and patched.

The form is that of the public Kubernetes API conventions (objects with apiVersion, kind, metadata, spec and
status; lists; Status errors). Nothing here does I/O.
"""
