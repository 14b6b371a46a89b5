"""The core behind the REST and gRPC fronts: jobs, tasks and machines around the decisions of a scheduler.

`job_controller` is its entrance and hands each input to the part in charge. Nothing here has a socket, a
clock or a thread: `kelpfront.service` calls in with the time and carries out the intents that come back.
"""
