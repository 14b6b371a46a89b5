"""The core behind the REST and gRPC fronts: the state of jobs, tasks and machines around a scheduler.

`job_controller` is the entry point and dispatches each input to the module that handles it. The package does
no I/O and has no clock or threads: `kelpfront.service` passes in the time and executes the returned intents.
"""
