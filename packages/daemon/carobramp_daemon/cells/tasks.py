"""Tasks beside a service whose failure stops the process."""

import asyncio


def spawn(service, coroutine) -> asyncio.Task:
    """Run a coroutine beside a service; an exception in it crashes the service.

    Nobody awaits these tasks, so that a broken invariant in one of them would
    otherwise go unnoticed while the daemon serves on without it.
    """
    task = asyncio.create_task(coroutine)

    def check(done):
        if not done.cancelled() and done.exception() is not None:
            service.crashing = asyncio.create_task(service.crash(done.exception()))

    task.add_done_callback(check)
    return task
