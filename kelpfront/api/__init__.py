"""The resources of the REST API: their models, errors, selectors and patches.

They follow the public Kubernetes API conventions: objects with apiVersion, kind, metadata, spec and status,
lists, and Status errors. This package does no I/O.
"""
