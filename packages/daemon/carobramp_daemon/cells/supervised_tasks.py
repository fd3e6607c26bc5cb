"""Background tasks of a service; an exception in one stops the process."""

import asyncio


def spawn(service, coroutine) -> asyncio.Task:
    """Run a coroutine as a task of a service; an exception in it crashes the service.

    Nothing awaits these tasks, so that otherwise an exception would go unnoticed and
    the daemon would continue without the task.
    """
    task = asyncio.create_task(coroutine)

    def check(done):
        if not done.cancelled() and done.exception() is not None:
            service.crashing = asyncio.create_task(service.crash(done.exception()))

    task.add_done_callback(check)
    return task
