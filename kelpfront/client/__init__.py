"""The client library: submit jobs, wait for the answers of their tasks, list and watch objects.

```python
from kelpfront.client import Client, JobSpec

async with Client("http://127.0.0.1:8140") as client:
    job = await client.submit("climate", JobSpec(class_="web", service="front", cores=1, memory=2))
    job = await client.wait_answers(job)
```
"""

from kelpfront.api.errors import ApiError
from kelpfront.api.jobs import Answer, Job, JobSpec, Task, TaskState
from kelpfront.api.machines import Machine
from kelpfront.client.client import Client
from kelpfront.client.informer import Event
from kelpfront.client.interface import PlacerClient, ServerUnreachableError, UnknownOutcomeError

__all__ = [
    "Answer",
    "ApiError",
    "Client",
    "Event",
    "Job",
    "JobSpec",
    "Machine",
    "PlacerClient",
    "ServerUnreachableError",
    "Task",
    "TaskState",
    "UnknownOutcomeError",
]
